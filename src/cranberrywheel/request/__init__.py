"""State that lives for one request, and decisions about requests."""
