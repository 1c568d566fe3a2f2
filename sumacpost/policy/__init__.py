"""Every decision of the ingress: pure, told the time, seeded, without I/O."""
