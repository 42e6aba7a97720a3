"""Configuration versions, team keys and the records kept in the store."""
