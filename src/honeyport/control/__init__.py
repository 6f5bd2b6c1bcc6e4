"""The replicated log and the state it holds."""
