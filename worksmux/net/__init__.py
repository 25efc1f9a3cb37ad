"""HTTP/1.1 over Twisted's LineReceiver family: a pooled client, a bounded server, server-sent events.  No
decision."""
