"""Decisions: pure code without sockets, clocks or randomness; `now` is always an argument."""
