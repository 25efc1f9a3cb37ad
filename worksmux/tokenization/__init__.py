"""Counting prompts in tokens, and the identity of what they begin with."""
