"""The platform's store: its client, and subscriptions to what it holds."""
