"""Callers come in: listeners, authentication, the directory of hosts."""
