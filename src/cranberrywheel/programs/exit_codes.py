"""Exit codes of all programs."""

OK, REFUSED, USAGE = 0, 1, 2
