"""Decisions of the fleet as plain logic: no I/O, and time is a parameter."""
