"""Adaptive concurrency: the limit on concurrent calls that suits an upstream."""
