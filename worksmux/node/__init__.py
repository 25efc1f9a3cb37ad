"""A front node on an operator's platform: its configuration, its protocol, its discovery.  No decision."""
