"""Code shared by the gateway and the node: request lifecycle, attempts, and the loop that runs the policy."""
