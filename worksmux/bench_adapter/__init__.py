"""The bench's wire: codec, translation into our terms, instances, main loop.  No decision."""
