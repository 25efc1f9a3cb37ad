"""A scripted day on loopback sockets: fronts, engines, registry and clients as processes, and troubles by
timeline."""
