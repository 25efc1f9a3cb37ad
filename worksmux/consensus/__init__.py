"""What the fronts decide in common: a replicated log with few seats that vote; all others follow.  Free of
I/O."""
