"""Per-request state and decisions: queueing, retries, routing and tickets."""
