"""The asyncio tasks of a host: they do the I/O and apply the decisions made in core."""
