"""Small stand-ins for the systems that honeyport meets."""
