"""The data plane for routed traffic: ingress, dispatch and streams."""
