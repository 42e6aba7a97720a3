"""Network connections to callers, targets, peers and the platform."""
