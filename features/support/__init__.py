"""Scaffolding: processes, cuts and callers for the tests."""
