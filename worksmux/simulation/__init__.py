"""Simulates a whole fleet in simulated time with the gateway's own decision code and without sockets."""
