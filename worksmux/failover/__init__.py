"""Failover between zones and regions: what fronts report becomes a numbered plan.  Free of I/O."""
