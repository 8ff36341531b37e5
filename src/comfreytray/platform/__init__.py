"""Translate between the product and the users' platform; the only place that does."""
