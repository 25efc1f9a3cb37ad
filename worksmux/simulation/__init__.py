"""A model of a whole fleet in simulated time: the very modules of the front decide, no socket is opened."""
