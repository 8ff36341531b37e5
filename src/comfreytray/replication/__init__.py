"""Replication of stored objects between nodes, so that few nodes read the store."""
