"""All decisions of the ingress, without I/O: the time and the random seed are arguments."""
