"""Adapter to the users' platform: names, wire formats and calls; makes no decisions."""
