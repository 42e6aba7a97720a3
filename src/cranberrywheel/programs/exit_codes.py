"""Exit codes of the console scripts: success, operation refused, usage error."""

EXIT_OK, EXIT_REFUSED, EXIT_USAGE = 0, 1, 2
