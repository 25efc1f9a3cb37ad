"""Which fronts there are, alive, suspected or dead, and what is spread among them.  Free of I/O."""
