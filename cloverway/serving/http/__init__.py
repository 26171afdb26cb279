"""Connections, and HTTP on them: callers, endpoints, other hosts."""
