"""What lives as long as a submission: its steps, tasks, runs and their decisions."""
