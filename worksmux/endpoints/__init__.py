"""Which engines there are: what a front believes of the lists it is told.  Free of I/O; time is passed in."""
