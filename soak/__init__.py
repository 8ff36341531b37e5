"""Soak test: real node processes under random faults, checked from the outside."""
