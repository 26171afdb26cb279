"""Requests that hosts pass on to each other."""
