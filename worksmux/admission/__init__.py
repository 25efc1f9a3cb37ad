"""Admission control under overload.  Free of I/O; time and random draws are passed in."""
