"""Settings in KDL: reading with lines, checks, and the plain map that the module is given.  No decision."""
