"""Backoff of the discovery watch after failed polls, and a limit on the bytes that it receives.

Receiving an endpoint list that can't be used costs as much as receiving a usable one. Polls become
less frequent the longer unusable responses continue. After long unusable responses, only short ones
are accepted for a limited time, so that an ingress receives a bounded number of bytes per second.
Lists of changes fit that bound, so the endpoint list stays up to date if the agent can still send
changes.
"""

from __future__ import annotations

from math import inf
from random import uniform

# Delay before a new connection. Including the time to connect, it stays within the 200 ms that the
# watch is allowed.
RECONNECT_DELAY_S = 0.1
# A change must be known to the ingress within 6 s after it is known to discovery, even after failed
# polls, and the next poll takes time as well.
MAX_RECONNECT_DELAY_S = 4.0
MAX_DELAY_DOUBLINGS = 10  # limit on the exponent; the delay reaches its maximum long before
SMALL_LIST_BYTES = 64 * 1024  # lists up to this size may be polled again at any time
LIMITED_BYTES_PER_S = 3000
INITIAL_MAX_LIMIT_S = 60.0  # longest duration of the first limit, doubled for each further one
MAX_LIMIT_DOUBLINGS = 20
# Half of the bytes that the rate allows within the longest delay. The other half is for response
# heads, and for bytes in transit when a connection is closed.
MAX_LIMITED_RESPONSE_BYTES = int(LIMITED_BYTES_PER_S * MAX_RECONNECT_DELAY_S / 2)


class PollBackoff:
    """Exponential backoff with jitter, and a limit on the bytes received after long responses.

    Attributes:
        failures: connections that ended with a response, complete or not, since the last usable
            list.
        limited_until: end of the current or last limit, in seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Reset the failures and the limit, as after a usable list."""
        self.failures = 0
        self.limited_until = -inf
        self._limit_count = 0

    def is_limited(self, now: float) -> bool:
        """Return whether only short responses are accepted at a time of the event loop's clock."""
        return now < self.limited_until

    def next_delay(self, received_bytes: int, malformed: bool, now: float) -> float:
        """Record the end of a connection and return the delay before the next one, in seconds.

        received_bytes: bytes received of the connection's last response, 0 if there was none.
        malformed: whether the last response was invalid, rather than truncated or too slow.

        A long response that is malformed starts a limit. A long response that is truncated does so
        unless it is the first failure.
        """
        if not received_bytes:
            return RECONNECT_DELAY_S
        self.failures += 1
        if received_bytes > SMALL_LIST_BYTES and (malformed or self.failures > 1):
            max_limit_s = INITIAL_MAX_LIMIT_S * 2.0 ** min(self._limit_count, MAX_LIMIT_DOUBLINGS)
            self.limited_until = now + min(received_bytes / LIMITED_BYTES_PER_S, max_limit_s)
            self._limit_count += 1
        delay_s = RECONNECT_DELAY_S * 2.0 ** min(self.failures - 1, MAX_DELAY_DOUBLINGS)
        return min(MAX_RECONNECT_DELAY_S, delay_s) * uniform(0.5, 1.0)
