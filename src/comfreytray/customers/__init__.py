"""Customers with API keys: who calls, and what each may use."""
