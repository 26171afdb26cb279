"""What a host knows of other hosts and of endpoints, and how it learns that."""
