"""The node on the operators' platform: configuration, protocol, discovery and KV cache releases."""
