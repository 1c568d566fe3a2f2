"""Faults of system calls and of the wall clock in another process, by a library loaded into it."""
