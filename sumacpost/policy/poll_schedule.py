"""When the endpoint list is polled again while a response is outstanding, and which polls are kept.

An agent that does not respond is either silent or slow. Another poll, on a new connection, finds
out whether a silent agent is back; an outstanding poll that stays open hears a slow one.

The polls that stay open follow each other within 2 * KEEP_INTERVAL_S, or within MAX_HEDGE_DELAY_S
and the time to connect if that is longer. So a change is heard at most that time and the delay of
one response after it was made.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import inf

# Another poll is sent at the latest when a response is overdue for this time.
MAX_HEDGE_DELAY_S = 1.2
# Of the grace of a drain, the fraction in which the return of a silent agent has to be noticed. The
# rest is for the response, and for the event loop.
RETURN_GRACE_FRACTION = 0.75
# The hedge delay as a multiple of the delay of responses.
HEDGE_DELAY_FACTOR = 1.5
# Factor on the estimated delay of responses after each one that comes sooner.
DELAY_DECAY = 0.8
# A poll that follows the one before it sooner is not kept open, so that their number is limited.
KEEP_INTERVAL_S = 0.65
# A poll is given up when its response is overdue for this time. A change has to be known 6 s after
# it was made, so a response that takes longer would be too late in any case.
MAX_OVERDUE_S = 6.0


@dataclass(slots=True)
class OutstandingPoll:
    """A poll whose response is not complete. All times are by the event loop's clock, in seconds.

    Attributes:
        due_at: when a response is due from an agent that responds at once: when the poll was sent,
            or at the end of the time for which the agent may hold it.
        receiving: whether a part of the response has been received.
    """

    due_at: float
    receiving: bool = False


class PollSchedule:
    """Decides when another poll is sent, and learns from the delay of the responses.

    All times are in seconds. response_timeout_s is the hedge delay for an agent that has not been
    slow, drain_grace_s the time after which nothing may be sent to a backend that is listed as
    draining, and reconnect_delay_s what passes until an overdue poll is followed by another one.

    What is learned from late responses must not outlast them: an agent that falls silent teaches
    nothing any more, and at its return, changes count at once. The return is noticed by the next
    poll, hedge_delay_s + reconnect_delay_s after the one before. So with
    hedge_delay_s <= RETURN_GRACE_FRACTION * drain_grace_s - reconnect_delay_s it is noticed within
    that fraction of the grace, whatever was learned before.
    """

    def __init__(
        self,
        response_timeout_s: float,
        drain_grace_s: float = inf,
        reconnect_delay_s: float = 0.0,
    ) -> None:
        self._response_timeout_s = response_timeout_s
        return_delay_s = RETURN_GRACE_FRACTION * drain_grace_s - reconnect_delay_s
        self._max_hedge_delay_s = min(MAX_HEDGE_DELAY_S, return_delay_s)
        self._delay_s = 0.0  # estimated delay of responses

    @property
    def hedge_delay_s(self) -> float:
        """How long a response may be overdue before another poll is sent, in seconds."""
        learned_s = min(self._max_hedge_delay_s, HEDGE_DELAY_FACTOR * self._delay_s)
        return max(self._response_timeout_s, learned_s)

    def record_response(self, poll: OutstandingPoll, now: float) -> None:
        """Learn from a response that began now; one before its due time tells nothing."""
        if now >= poll.due_at:
            self._delay_s = max(now - poll.due_at, DELAY_DECAY * self._delay_s)

    def overdue_at(self, polls: Sequence[OutstandingPoll]) -> float:
        """Return when the youngest poll is overdue, inf while its response is being received.

        polls: oldest first, at least one.
        """
        youngest = polls[-1]
        return inf if youngest.receiving else youngest.due_at + self.hedge_delay_s

    def replaces_youngest(self, polls: Sequence[OutstandingPoll]) -> bool:
        """Return whether another poll replaces the youngest one, instead of joining it.

        polls: oldest first. The oldest poll is never replaced.
        """
        if len(polls) < 2:  # noqa: PLR2004 - the youngest one is the oldest one
            return False
        previous, youngest = polls[-2:]
        return not youngest.receiving and youngest.due_at - previous.due_at < KEEP_INTERVAL_S
