"""What all gateways together may send to a backend that is warming up, and the share of each.

In each window of the overload time a backend bears bound(N) requests of mean work, where N is the
overload factor times what it can do in that time. It must not fall by more than two thirds of
requests from gateways that know of its start, whatever the others send, so for each window

    sent by all gateways that know of the start  <=  2/3 * bound(N)        N: at the window's begin

holds where each gateway keeps to its share in every window, not in windows of its own, and the
shares add up to it. `units` are dealt out in periods of the window's length, in whole requests: all
gateways get units // gateways, and units % gateways of them, drawn anew for each period, one more.
A window touches two periods and may meet the extra requests of both:

    sum of shares in any window  <=  units + units % gateways
"""

from math import sqrt

SMALL_WINDOW_REQUESTS = 30.0  # below which a backend bears more by chance
NOTIFIED_FRACTION = 2 / 3  # of a fall: with less of it from those that know, it is not theirs


def tolerated_requests(expected: float) -> float:
    """Return the requests of mean work that a backend bears in a window.

    expected: N, or less. The allowance is smaller from SMALL_WINDOW_REQUESTS
        on, and N may be there.
    """
    at_least_small = max(expected, SMALL_WINDOW_REQUESTS)
    tolerated = at_least_small + 2 * sqrt(at_least_small) + 2
    if expected < SMALL_WINDOW_REQUESTS:
        tolerated = min(tolerated, expected + 3 * sqrt(expected) + 3)
    return tolerated


def window_units(expected: float, gateways: int, rounding: float) -> int:
    """Return the requests that all gateways together get in a period.

    expected: N, or less.
    rounding: in [0, 1), the same for all gateways; decides about the part of a request.
    """
    limit = int(NOTIFIED_FRACTION * tolerated_requests(expected))
    equal_part = limit // gateways * gateways
    extra_part = (limit - equal_part) // 2  # two periods meet in a window
    return min(int(expected + rounding), equal_part + extra_part)


def gateway_share(units: int, gateways: int, position: int) -> int:
    """Return what the gateway at a place in a period's order gets; places are from 0."""
    return (units + position) // gateways
