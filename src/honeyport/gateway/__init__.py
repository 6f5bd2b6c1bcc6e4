"""HTTP entry point of callers, which forwards to instances by routes."""
