"""Interface and adapters to the platform that publishes the configuration."""
