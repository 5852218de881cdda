"""The data plane of routed traffic: ingress, dispatch and streams."""
