"""Settings of a daemon and the configuration that operators publish."""
