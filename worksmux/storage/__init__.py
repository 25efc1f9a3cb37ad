"""Durable state of a node on SQLite. Every record and table carries checksums, so that damage is noticed."""
