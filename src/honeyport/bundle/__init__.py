"""The signed, versioned configuration of the fleet."""
