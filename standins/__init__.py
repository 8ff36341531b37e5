"""Small stand-ins for what surrounds the product, for tests and benchmarks."""
