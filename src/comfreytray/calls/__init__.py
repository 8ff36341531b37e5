"""The path of a call: HTTP entry, routing, retries, admission, upstream."""
