"""Interface for callers: listeners, authentication and the directory of hosts."""
