"""Membership, endpoint states and gossip: what a host knows of the other hosts and endpoints."""
