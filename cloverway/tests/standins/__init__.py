"""Fakes of the platform and the endpoints for the tests and the demo."""
