"""Stand-ins for what lies outside: engines, a registry, clients.  Each journals what it was sent and did."""
