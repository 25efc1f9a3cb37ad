"""What a node believes of the endpoint lists that it receives. No I/O; time is passed in."""
