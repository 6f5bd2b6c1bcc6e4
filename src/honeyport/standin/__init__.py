"""Stand-ins for the systems around honeyport, for tests and demos."""
