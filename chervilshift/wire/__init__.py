"""RPC messages and transport between the processes of the system."""
