"""Durable state of a node in SQLite, with checksums on every record and table that reveal damage."""
