"""Seeded soak test of gateway processes under random faults."""
