"""Console scripts: argument parsing only."""
