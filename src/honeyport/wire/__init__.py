"""Messages between honeyport processes, and their transport."""
