"""The simulator's wire: codec, translation into worksmux's words, instances, main loop.  No decision."""
