"""Benchmark commands; each starts the fake services that it needs."""
