"""Distribution of accepted versions to all nodes, and their status on each."""
