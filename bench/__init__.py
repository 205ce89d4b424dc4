"""Measurement commands; each starts its own stand-ins."""
