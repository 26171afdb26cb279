"""The protocol by which hosts forward requests, settle idempotency keys and fetch documents."""
