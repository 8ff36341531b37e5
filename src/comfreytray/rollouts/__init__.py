"""Canary roll-outs: a service's calls move to a new version as it proves to be good."""
