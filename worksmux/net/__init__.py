"""HTTP/1.1 on Twisted: a client with connection pools and a server with limits.  Holds no routing logic."""
