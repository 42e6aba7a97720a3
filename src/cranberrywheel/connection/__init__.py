"""Sockets to callers, targets, peers and the platform."""
