"""Policy and protocol logic; no sockets, files, timers or wall clock."""
