"""Datagrams and streams between nodes, and the messages on them."""
