"""Interfaces for operators: the admin API, metrics, and one log line for each request."""
