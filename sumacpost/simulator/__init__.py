"""Connects gateways to the simulator through its binary protocol."""
