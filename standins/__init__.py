"""Stand-ins for the platform, used by tests, benchmarks and the quick start."""
