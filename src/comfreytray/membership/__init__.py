"""Membership of the mesh: its nodes, and the upstream instance beside each node."""
