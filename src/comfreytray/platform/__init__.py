"""Adapt the product to the users' platform; no other package knows the platform."""
