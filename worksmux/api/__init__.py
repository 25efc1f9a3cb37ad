"""Messages of each published form: typed, checked, without I/O."""
