"""Adapter to the users' platform: names, formats and calls; nothing decides here."""
