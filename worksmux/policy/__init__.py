"""Makes every decision on requests, attempts and engines; does no I/O and reads no clock."""
