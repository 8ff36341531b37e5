"""Nodes: one that gossips with its peers, and one that follows the platform's store."""
