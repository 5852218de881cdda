"""Policy and protocol logic without sockets, files, timers or a wall clock."""
