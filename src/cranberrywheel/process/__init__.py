"""Components of the entry and planner processes, and the state that they own."""
