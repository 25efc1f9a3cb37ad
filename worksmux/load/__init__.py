"""A load generator that keeps to its intended times, and says so when it cannot."""
