"""A seeded soak of gateways as real processes against the stand-ins."""
