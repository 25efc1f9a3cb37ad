"""Counts the tokens of prompts and identifies the prefixes that sessions share."""
