"""Work that may be done once: idempotency keys and who grants them."""
