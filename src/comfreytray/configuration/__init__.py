"""Templates and customers: their texts, their versions and the compiled routes."""
