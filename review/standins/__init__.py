"""Stand-ins of the platform for the scripts of this review, on loopback and the real clock."""
