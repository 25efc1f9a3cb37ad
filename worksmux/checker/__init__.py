"""Checks the five rules from what clients, engines and registry recorded, never from the front's own
words."""
