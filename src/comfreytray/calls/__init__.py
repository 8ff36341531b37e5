"""The path of a call: entry, routing, admission, retries, the upstream."""
