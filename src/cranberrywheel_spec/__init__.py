"""Formal models of the core protocols, their checks and the history checker."""
