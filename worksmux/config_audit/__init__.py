"""What fronts act on: a chained account of each, and what several of them add up to.  Free of I/O."""
