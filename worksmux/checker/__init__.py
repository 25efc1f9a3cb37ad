"""Checks the five rules from the journals of clients, engines and registry, never from a gateway's log."""
