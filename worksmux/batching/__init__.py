"""Batches for engines: large requests are split, small ones share a batch.  Free of I/O."""
