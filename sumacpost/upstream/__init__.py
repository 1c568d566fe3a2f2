"""The backend side: connection pools, attempts and load reports."""
