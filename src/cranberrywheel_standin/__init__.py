"""Stand-ins for the platforms and for workers, used by tests and local runs."""
