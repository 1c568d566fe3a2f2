"""The gateway behind the simulator's binary protocol."""
