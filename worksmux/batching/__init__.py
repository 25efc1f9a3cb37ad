"""Batches over engines: large calls split, small ones joined, each put together again.  Free of I/O."""
