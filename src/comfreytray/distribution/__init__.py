"""How accepted versions reach every node, and where each stands."""
