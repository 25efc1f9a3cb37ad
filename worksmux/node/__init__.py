"""A front node on the operators' platform: its configuration, protocol, discovery and releases of KV
cache."""
