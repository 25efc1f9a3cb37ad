"""Measurements, mostly as ratios within one run on one machine. CI does not run them."""
