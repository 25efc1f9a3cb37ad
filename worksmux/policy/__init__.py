"""All decisions on requests, attempts and engines; no I/O, no clock."""
