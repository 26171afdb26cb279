"""What operators see: the admin interface, metrics, one line for each request."""
