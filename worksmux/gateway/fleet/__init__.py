"""The gateway's part in a fleet that decides in common: gossip, consensus, audit logs."""
