"""Stand-ins for the platform and the endpoints, used by tests and the demo."""
