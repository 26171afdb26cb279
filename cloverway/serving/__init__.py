"""Tasks on one event loop, each with its own sockets and state, that carry out decisions."""
