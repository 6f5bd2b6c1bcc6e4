"""Messages between honeyport processes."""
