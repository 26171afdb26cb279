"""Published documents, read from the store or from another host."""
