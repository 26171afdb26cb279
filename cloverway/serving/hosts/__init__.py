"""Communication between the hosts of a fleet: gossip, broadcasts and their messages."""
