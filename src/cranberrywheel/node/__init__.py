"""One process on the platform: its tasks, their wiring and its start and stop."""
