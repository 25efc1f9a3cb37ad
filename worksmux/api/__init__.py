"""Messages of the HTTP APIs and of the endpoint list: typed and checked.  Free of I/O."""
