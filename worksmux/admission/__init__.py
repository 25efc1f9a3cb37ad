"""Admission control under overload.  Free of I/O; the time and the seed of random draws are passed in."""
