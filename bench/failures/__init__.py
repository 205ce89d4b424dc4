"""Seeded failure run of real processes under random faults."""
