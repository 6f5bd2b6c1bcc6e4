"""Logs with numbered events, metrics and traces."""
