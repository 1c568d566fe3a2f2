"""A configuration that holds what is required."""

from __future__ import annotations

from tests.support.loopback import SETTINGS

GOOD = {"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
