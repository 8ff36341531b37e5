"""Stand-ins for callers, upstreams and the platform, for tests and benchmarks."""
