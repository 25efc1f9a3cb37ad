"""The gateway daemon (`serve`): clients, engines, the endpoint list and the clock around the policy."""
