"""A gateway's part in a fleet: the I/O around gossip, consensus, failover and the audit logs.

`peering` connects the parts, `message_transport` carries their messages, `core_timers` sets their timers.
Each other module has one part's I/O; decisions are in the I/O-free packages.
"""
