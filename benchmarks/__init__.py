"""Measurements: ratios within one run on one machine.  Not part of CI."""
