"""What the fleet decides; no sockets and no tasks, time is passed in."""
