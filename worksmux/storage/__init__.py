"""Durable state of a front, on SQLite: checked record by record, never half believed.  No decision."""
