"""Runs policies under the bench: wire codec, mapping to events and actions, main loop; no decisions."""
