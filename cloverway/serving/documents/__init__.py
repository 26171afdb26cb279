"""The published documents, from the store or from another host."""
