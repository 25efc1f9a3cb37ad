"""Audit of which node acted on which versions: an audit log per node, and their combination.

The package does no I/O.
"""
