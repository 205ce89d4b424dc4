"""All failures together: a seeded, bounded run of real processes."""
