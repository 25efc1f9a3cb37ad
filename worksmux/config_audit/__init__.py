"""Which node acted on which version of its configuration: a chained audit log per node, and what several
add up to.

Free of I/O.
"""
