"""The side towards the backends: connection pools, attempts and load reports."""
