"""Endpoint lists and the endpoints of them that the policy may use. No I/O; time is passed in."""
