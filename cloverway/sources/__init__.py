"""Ports and adapters to the platform that publishes configuration."""
