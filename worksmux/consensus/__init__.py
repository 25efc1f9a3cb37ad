"""Consensus among gateway nodes: Raft among the few voters, replication to all other nodes. Free of I/O.

References: "Raft" is Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm (extended
version, 2014); "thesis" is Ongaro, Consensus: Bridging Theory and Practice (2014).
"""
