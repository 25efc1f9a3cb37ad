"""Membership of a gateway in a fleet: the I/O around gossip, consensus, failover and the audit logs.

`peering` connects the parts, `message_transport` sends their messages, `core_timers` sets their timers. Each
other module does the I/O of one part; decisions are made in the I/O-free packages.
"""
