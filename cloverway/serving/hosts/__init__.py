"""What the hosts of a fleet tell each other."""
