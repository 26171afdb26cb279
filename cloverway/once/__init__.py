"""At-most-once execution: idempotency keys and the hosts that grant them."""
