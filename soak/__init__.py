"""Randomized soak tests: real processes, injected faults, invariants."""
