"""How long the watch waits after a failed poll, and when it limits what it receives.

An endpoint list that can't be used costs as much as one that can. The longer such responses keep
coming, the fewer polls are made; and after long ones only short responses are accepted for a while,
so that an ingress spends a bounded number of bytes a second on them. Changes fit that bound, so the
list stays up to date where the agent can still send these.
"""

from __future__ import annotations

from math import inf
from random import uniform

# Before a new connection; with the time to connect it stays within the 200 ms of the watch.
RECONNECT_DELAY_S = 0.1
# A change must be known 6 s after discovery had it, whatever failed before, and the next poll needs
# its time too.
MAX_RECONNECT_DELAY_S = 4.0
MAX_DELAY_DOUBLINGS = 10  # of the delay: far past its bound
SMALL_LIST_BYTES = 64 * 1024  # lists up to this size may be requested again at any time
LIMITED_BYTES_PER_S = 3000
INITIAL_MAX_LIMIT_S = 60.0  # what the first limit lasts; each further one may last twice as long
MAX_LIMIT_DOUBLINGS = 20
# Half of what the rate allows in the longest delay: the rest is for heads, and for what is on its
# way when a connection is closed.
MAX_LIMITED_RESPONSE_BYTES = int(LIMITED_BYTES_PER_S * MAX_RECONNECT_DELAY_S / 2)


class PollBackoff:
    """Exponential backoff with jitter, and a limit on the bytes received after long responses.

    Attributes:
        failures: connections that ended with a response, since the last list that could be used.
        limited_until: end of the present or last limit, in seconds of the event loop's clock.
    """

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Forget all failures, as after a list that could be used."""
        self.failures = 0
        self.limited_until = -inf
        self._limit_count = 0

    def is_limited(self, now: float) -> bool:
        """Return whether only short responses are accepted."""
        return now < self.limited_until

    def next_delay(self, received_bytes: int, malformed: bool, now: float) -> float:
        """Record the end of a connection and return the seconds to wait before the next.

        received_bytes: of its last response, none if there was no response; malformed: that came,
        but was no list. A long response that was malformed begins a limit, and so does one that
        broke off, unless it is the first failure.
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
