"""The budget of all gateways for a backend that is warming up, and the share of each gateway.

Within each window of Settings.overload_window_ms a backend tolerates bound(N) requests of mean work
without failing, where N is the overload factor times what it can serve in that time. A failure must
never be due to the gateways that know of the backend's start, regardless of the load from others.
It counts as theirs if they sent more than two thirds of the requests, so for each window

    sent by all gateways that know of the start  <=  2/3 * bound(N)

has to be true, with N as of the start of the window. This is so if each gateway stays within its
share in every window, wherever that starts, and the shares add up to no more than this bound. A
`budget` of whole requests is assigned to each period of the window's length: each gateway gets
budget // gateways requests, and budget % gateways of the gateways, drawn again for each period, get
one more. A window overlaps two periods and may contain the extra requests of both:

    sum of shares in any window  <=  budget + budget % gateways
"""

from math import sqrt

SMALL_WINDOW_REQUESTS = 30.0  # for fewer requests, the allowance for random variation is larger
# A failure is not attributed to the gateways that know of the backend's start if they sent no more
# than this fraction of the requests.
NOTIFIED_FRACTION = 2 / 3


def tolerated_requests(expected: float) -> float:
    """Return the requests of mean work that a backend tolerates in a window: bound(N).

    expected: N or less. The allowance for random variation is smaller if N is SMALL_WINDOW_REQUESTS
        or more, which it may be even if `expected` is less. So a smaller `expected` never gives
        more than bound(SMALL_WINDOW_REQUESTS).
    """
    at_least_small = max(expected, SMALL_WINDOW_REQUESTS)
    tolerated = at_least_small + 2 * sqrt(at_least_small) + 2
    if expected < SMALL_WINDOW_REQUESTS:
        tolerated = min(tolerated, expected + 3 * sqrt(expected) + 3)
    return tolerated


def period_budget(expected: float, gateways: int, rounding: float) -> int:
    """Return the requests that all gateways together may send in a period.

    expected: N or less.
    rounding: in [0, 1), the same at all gateways; decides whether a fraction of a request is
        rounded up.
    """
    limit = int(NOTIFIED_FRACTION * tolerated_requests(expected))
    equal_part = limit // gateways * gateways
    extra_part = (limit - equal_part) // 2  # halved, as a window overlaps two periods
    return min(int(expected + rounding), equal_part + extra_part)


def gateway_share(budget: int, gateways: int, position: int) -> int:
    """Return the share of the gateway at this position, from 0, in the order of a period."""
    return (budget + position) // gateways
