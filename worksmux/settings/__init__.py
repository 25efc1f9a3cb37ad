"""Reads and checks settings: KDL files of the gateway, and the JSON of an operator's platform."""
