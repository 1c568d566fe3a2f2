"""A randomized soak of real ingress processes: overlapping faults, and the rules as its oracles."""
