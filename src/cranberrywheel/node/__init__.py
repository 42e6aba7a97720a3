"""One process on the platform: its components, their wiring, its start and stop."""
