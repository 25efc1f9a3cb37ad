"""HTTP/1.1 on Twisted: a pooled client and a bounded server.  No decisions about requests are taken here."""
