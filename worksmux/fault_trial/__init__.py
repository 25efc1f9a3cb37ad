"""Runs a scenario on loopback sockets: gateways, engines and clients as processes, with scheduled faults."""
