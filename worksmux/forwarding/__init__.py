"""What both daemons share: requests, attempts and the loop around the decision module."""
