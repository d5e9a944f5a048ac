"""Benchmarks: what the system costs and what its decisions bring, measured."""
