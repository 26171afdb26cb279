"""What is decided about a request: queues, limits, routes, retries."""
