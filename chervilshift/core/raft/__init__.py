"""The replicated log's consensus, as a pure state machine."""
