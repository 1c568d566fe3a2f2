"""Faults of system calls and the wall clock in another process, injected by a preloaded library."""
