"""Fakes of the platform on which the hosts of a fleet run, and the soak that uses them."""
