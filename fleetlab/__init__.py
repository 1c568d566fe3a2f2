"""A scale run: stand-ins on loopback, hollow and real ingresses before them, slopes from their figures."""
