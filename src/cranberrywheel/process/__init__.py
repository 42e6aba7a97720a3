"""State that lives as long as a process, and the tasks that own it."""
