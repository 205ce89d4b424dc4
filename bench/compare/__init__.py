"""Comparison of the service with two simple designs under the same load."""
