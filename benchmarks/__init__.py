"""Benchmarks of the product against baselines of the same run."""
