"""Failover between zones and regions: turns the reports of all nodes into a numbered plan. No I/O."""
