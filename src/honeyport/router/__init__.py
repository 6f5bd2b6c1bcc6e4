"""The processes between callers and backend servers."""
