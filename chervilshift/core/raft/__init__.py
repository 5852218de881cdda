"""Raft consensus for the replicated log, as a state machine without I/O."""
