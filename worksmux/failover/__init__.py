"""Failover between zones and regions: the nodes' reports become a numbered plan. No I/O."""
