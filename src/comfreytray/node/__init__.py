"""The processes: a node of a mesh of its own, a node that lives from the store."""
