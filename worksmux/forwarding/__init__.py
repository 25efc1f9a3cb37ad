"""What both daemons share: the life of requests, their attempts, and the loop around the decision module."""
