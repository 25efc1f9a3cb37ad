"""Fakes of the systems around a gateway: engines, a registry and clients.  Each writes a journal."""
