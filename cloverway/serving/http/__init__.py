"""HTTP client and server for callers, endpoints and other hosts."""
