"""The client side: connections, requests and responses."""
