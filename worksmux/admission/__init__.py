"""Who may come in when more is asked than can be carried.  Free of I/O; time and chance are passed in."""
