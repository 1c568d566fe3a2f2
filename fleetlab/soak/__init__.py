"""A randomized soak test of real ingress processes under overlapping faults, checked by oracles."""
