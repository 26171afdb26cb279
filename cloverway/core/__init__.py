"""Pure decision logic: no sockets, clocks or randomness; the current time is passed as `now`."""
