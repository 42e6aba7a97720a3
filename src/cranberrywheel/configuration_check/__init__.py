"""Check of a configuration before operators send it to the platform's store."""
