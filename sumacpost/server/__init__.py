"""The client side of the ingress: connections, requests and responses."""
