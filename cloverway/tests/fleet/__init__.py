"""Stand-ins for the platform that hosts of a fleet run on, and tests over them."""
