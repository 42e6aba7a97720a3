"""Console scripts: command line parsing, output and exit codes."""
