"""HTTP client that sends requests to endpoints and relays their answers."""
