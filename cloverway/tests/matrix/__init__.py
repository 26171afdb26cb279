"""Every fault at every step of a call, through real processes."""
