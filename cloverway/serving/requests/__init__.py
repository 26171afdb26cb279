"""The course of one request, from its head to the end of its answer."""
