"""Dispatching of requests: queues, limits, routes and retries."""
