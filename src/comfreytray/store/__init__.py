"""The platform's object store: its client, and subscriptions to its objects."""
