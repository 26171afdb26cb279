"""Requests go out to endpoints, and their answers come back."""
