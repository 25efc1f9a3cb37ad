"""Which node acted on which version: a chained audit log per node, and what several logs add up to.



Free of I/O.
"""
