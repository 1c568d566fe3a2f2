"""One connection to the counter: pipelined calls, their replies, and two timeouts.

A call that exceeds the call timeout is concluded, but its reply is still expected and is read when
it arrives. A connection that exceeds the silence timeout, without any reply, is closed: its calls
are lost, and the client opens a new connection.
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from sumacpost.counter.resp import ErrorReply, Reply, ReplyDecoder, TotalReply
from sumacpost.errors import CounterProtocolError
from sumacpost.model import CounterReplied, Outcome
from sumacpost.timer import READ_DELAY_S, Timer
from sumacpost.turn_scheduler import TurnScheduler

log = logging.getLogger(__name__)

MAX_UNREPLIED_CALLS = 1000  # calls without a reply on one connection
REPLIES_PER_TURN = 8  # handled in one turn: each may let the gateway decide on a request
STABLE_AFTER_S = 0.2  # a connection older than this is replaced immediately when it is lost
TIMER_TOLERANCE_S = 0.0005  # deadlines that are this close are handled by the same timer

# Silence timeout of a connection with unreplied calls, unless the call timeout is longer:
FIRST_REPLY_TIMEOUT_S = 0.25  # before the first reply; no process may be serving the connection
SILENCE_LATENCY_FACTOR = 8.0  # after the first reply, multiple of the estimated reply latency
MAX_SILENCE_S = 1.0  # upper limit of that multiple
LATENCY_DECAY = 0.98  # factor applied to the estimated latency for each faster reply


@dataclass(slots=True, eq=False)
class CounterCall:
    """One call of ADDGET.

    Attributes:
        name: the number that is added to.
        started_at: time of the call, in seconds of the event loop's clock.
        reply: the reply to report; None until the call is concluded.
    """

    name: int
    started_at: float
    reply: CounterReplied | None = None


class ReplyLatency:
    """Estimates the latency of replies as a maximum that decays with each faster reply.

    Replies that arrive after the call timeout are included.

    Attributes:
        seconds: the estimate, 0 before the first reply.
    """

    def __init__(self) -> None:
        self.seconds = 0.0

    def observe(self, latency_s: float) -> None:
        """Update the estimate with the latency of one reply, in seconds."""
        self.seconds = max(latency_s, self.seconds * LATENCY_DECAY)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter, and the calls that await a reply on it.

    `on_concluded` is called exactly once for each call that `send` accepts, with the outcome and,
    for Outcome.OK, the total. `on_lost` is called once, when the connection is closed.
    """

    def __init__(
        self,
        timeout_s: float,
        reply_latency: ReplyLatency,
        on_concluded: Callable[[CounterCall, Outcome, float], None],
        on_lost: Callable[[CounterConnection], None],
        turns: TurnScheduler,
    ) -> None:
        self._timeout_s = timeout_s
        self._turns = turns
        self._reply_latency = reply_latency
        self._on_concluded = on_concluded
        self._on_lost = on_lost
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._decoder = ReplyDecoder()
        self._created_at = self._loop.time()
        self._last_reply_at = self._created_at
        self._unreplied: deque[CounterCall] = deque()  # in the order of the expected replies
        # The newest of the unreplied calls: those that have not timed out.
        self._waiting: deque[CounterCall] = deque()
        self._timer: Timer | None = None
        self._has_replied = False
        self._retired = False
        self._has_unhandled_replies = False
        self._reading_paused = False  # while replies that have been read wait for their turn
        # Outcome of the calls that are still in _waiting when the connection closes.
        self._loss_outcome = Outcome.TIMEOUT

    @property
    def allows_immediate_reconnect(self) -> bool:
        """Whether the connection may be replaced without delay: it has replied or is stable."""
        return self._has_replied or self._loop.time() - self._created_at > STABLE_AFTER_S

    @property
    def connected(self) -> bool:
        """Whether the connection accepts calls."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, call: CounterCall, data: bytes) -> bool:
        """Write one encoded call; return False without writing if too many are unreplied."""
        if len(self._unreplied) >= MAX_UNREPLIED_CALLS or self._transport is None:
            return False
        self._transport.write(data)
        self._unreplied.append(call)
        self._waiting.append(call)
        deadline = self._call_deadline(call)
        if self._timer is None or self._timer.due > deadline:
            if self._timer is not None:
                self._timer.cancel()
            self._timer = Timer(deadline - self._loop.time(), self._check_deadlines)
        return True

    def retire(self) -> None:
        """Close once no call waits for its reply; the caller must make no further calls."""
        self._retired = True
        self._close_if_retired()

    def _close_if_retired(self) -> None:
        if self._retired and not self._waiting and self._transport is not None:
            self._transport.abort()

    # ---- timeouts

    def _call_deadline(self, call: CounterCall) -> float:
        return call.started_at + self._timeout_s

    def _silent_since(self) -> float:
        """Return the time of the last reply or of the oldest unreplied call, whichever is later."""
        return max(self._unreplied[0].started_at, self._last_reply_at)

    def _silence_timeout_s(self) -> float:
        """Return the longest tolerated time without any reply, in seconds.

        A counter that is slow as a whole shows this in the latency of its replies, which the limit
        follows. The limit for the first reply on a connection is fixed, and longer than that of a
        fast counter. A slow counter therefore does not cause repeated new connections.
        """
        limit_s = FIRST_REPLY_TIMEOUT_S
        if self._has_replied:
            limit_s = min(MAX_SILENCE_S, SILENCE_LATENCY_FACTOR * self._reply_latency.seconds)
        return max(self._timeout_s, limit_s)

    def _check_deadlines(self) -> None:
        """Close a silent connection; otherwise conclude the calls that have timed out.

        A connection may no longer be served by any process although the counter is healthy. Such a
        connection must be closed, since calls on it are lost. If replies are delayed for longer
        than the silence timeout while the counter does read the calls, calls whose amounts will be
        added may be reported as lost.
        """
        self._timer = None
        if self._reading_paused:
            # The calls that seem late may have their replies.
            self._timer = Timer(READ_DELAY_S, self._check_deadlines)
            return
        now = self._loop.time() + TIMER_TOLERANCE_S
        if self._has_stalled_reply(now):
            # The counter has processed the call whose reply has begun, and has added the amount
            # unless the reply is an error.
            self._close_silent(Outcome.TIMEOUT, "partial_reply")
            return
        if self._unreplied and self._silent_since() + self._silence_timeout_s() <= now:
            # Calls that are lost with a connection that has replied are one sign of congestion; the
            # counter may still have them in its socket, and add them later.
            outcome = Outcome.RESET if self._has_replied else Outcome.TIMEOUT
            self._close_silent(outcome, "no_reply")
            return
        self._time_out_calls(now)
        if self._retired:
            self._close_if_retired()
        elif self._transport is not None and self._unreplied:
            self._set_timer(now)

    def _has_stalled_reply(self, now: float) -> bool:
        return (
            self._decoder.has_partial_reply
            and bool(self._waiting)
            and self._call_deadline(self._waiting[0]) <= now
        )

    def _time_out_calls(self, now: float) -> None:
        """Conclude calls whose deadline has passed; their amounts may still have been added."""
        while self._waiting and self._call_deadline(self._waiting[0]) <= now:
            self._on_concluded(self._waiting.popleft(), Outcome.TIMEOUT, 0.0)

    def _set_timer(self, now: float) -> None:
        due = self._silent_since() + self._silence_timeout_s()
        if self._waiting:
            due = min(due, self._call_deadline(self._waiting[0]))
        self._timer = Timer(max(due, now) - self._loop.time(), self._check_deadlines)

    def _close_silent(self, loss_outcome: Outcome, reason: str) -> None:
        self._loss_outcome = loss_outcome
        silent_s = self._loop.time() - self._silent_since()
        log.warning("counter connection silent: reason=%s silent_s=%.2f", reason, silent_s)
        if self._transport is not None:
            self._transport.abort()

    # ---- called by the event loop

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start to accept calls."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transport is no subclass

    def data_received(self, data: bytes) -> None:
        """Match replies to calls, in turns if there are many; close after invalid data."""
        if self._transport is None or self._transport.is_closing():
            return
        self._decoder.receive_data(data)
        self._has_unhandled_replies = True
        self._turns.request_turns(self)
        if self._transport is not None and self._has_unhandled_replies:
            self._reading_paused = True
            self._transport.pause_reading()  # the end must not be read before the replies

    def take_turn(self) -> bool:
        """Match some replies to calls; return whether there may be more."""
        if self._transport is None or self._transport.is_closing():
            return False
        try:
            for _ in range(REPLIES_PER_TURN):
                reply = self._decoder.next_reply()
                if reply is None:
                    self._resume_reading()
                    self._close_if_retired()
                    return False
                self._handle_reply(reply)
        except CounterProtocolError as error:
            log.warning("counter connection failed: error=%s", error)
            self._has_replied = self._has_replied or bool(self._unreplied)
            self.abort()
            return False
        return True

    def _resume_reading(self) -> None:
        self._has_unhandled_replies = False
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    def abort(self) -> None:
        """Close the connection; the calls on it are lost."""
        if self._transport is not None:
            self._transport.abort()

    def _handle_reply(self, reply: Reply) -> None:
        """Match a reply to the oldest call; raise CounterProtocolError if there is no call."""
        if not self._unreplied:
            raise CounterProtocolError(f"unexpected {reply!r} without a call")
        if isinstance(reply, ErrorReply) and not reply.is_overload:
            log.warning("counter call failed: error=%r", reply.message)
        self._has_replied = True
        call = self._unreplied.popleft()
        self._last_reply_at = self._loop.time()
        self._reply_latency.observe(self._last_reply_at - call.started_at)
        if not self._waiting or self._waiting[0] is not call:
            return  # the call has timed out
        self._waiting.popleft()
        if isinstance(reply, TotalReply):
            self._on_concluded(call, Outcome.OK, reply.total)
        else:
            self._on_concluded(call, Outcome.REJECTED, 0.0)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Conclude the calls that still wait; their amounts may have been added."""
        self._transport = None
        if self._timer is not None:
            self._timer.cancel()
        lost_calls = self._waiting
        self._waiting = deque()
        self._unreplied.clear()
        for call in lost_calls:
            self._on_concluded(call, self._loss_outcome, 0.0)
        self._on_lost(self)
