"""The daemon of one entry instance."""
