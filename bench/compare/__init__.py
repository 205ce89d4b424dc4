"""This design beside two simple ones, under the same load in one run."""
