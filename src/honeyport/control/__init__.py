"""The control plane: a Raft log, its state machine and router streams."""
