"""A scale run: synthetic and real ingresses before stand-in servers, and slopes of the figures."""
