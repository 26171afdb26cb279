"""Handling of one request, from its head to the end of its response."""
