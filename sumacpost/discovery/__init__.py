"""The endpoint list, and the watch that keeps it up to date."""
