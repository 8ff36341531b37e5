"""Templates and customers: texts, versions, acceptance, compiled routes."""
