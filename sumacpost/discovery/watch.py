"""The discovery watch, which polls the agent for changes of the endpoint list."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from math import inf

from sumacpost.address import Address
from sumacpost.clock import Clock
from sumacpost.discovery.backoff import (
    MAX_LIMITED_RESPONSE_BYTES,
    RECONNECT_DELAY_S,
    SMALL_LIST_BYTES,
    PollBackoff,
)
from sumacpost.discovery.endpoint_list import (
    MAX_LIST_BYTES,
    AddressByBackend,
    EndpointList,
    EndpointListParser,
    EndpointListReader,
)
from sumacpost.discovery.incremental_json import IncrementalJsonDecoder
from sumacpost.discovery.poll_connection import PollConnection
from sumacpost.discovery.poll_protocol import check_status, check_version, encode_poll
from sumacpost.discovery.start_times import StartTimeConverter
from sumacpost.errors import EndpointListError, ResponseError
from sumacpost.http1 import Response, ResponseReader
from sumacpost.model import EndpointListUpdate, UpdateKind
from sumacpost.policy.poll_schedule import MAX_OVERDUE_S, OutstandingPoll, PollSchedule

log = logging.getLogger(__name__)

# Longest time for which the agent may hold a poll until there is a change. A silent connection is
# detected only after this time.
LONG_POLL_MS = 1000
# The longest hold while the agent is unavailable: when it recovers, its changes are needed
# immediately.
RECOVERY_POLL_MS = 1
# Timeout for a new connection and for each further piece of a response, and time after which a
# response that has not begun is overdue. It is shorter where the grace period of a drain is short,
# so that the recovery of a silent agent is detected within the grace period.
RESPONSE_TIMEOUT_S = 0.5
RESPONSE_TIMEOUT_GRACE_FRACTION = 0.5
MIN_RESPONSE_TIMEOUT_S = 0.1
UPDATE_BATCH_ENTRIES = 64  # passed to the callback in one iteration of the event loop: 1 ms of work

UpdateCallback = Callable[[EndpointListUpdate, AddressByBackend], None]


@dataclass(slots=True, eq=False)
class _Poll(OutstandingPoll):
    """An outstanding poll with its connection, or one whose connection is being opened.

    Attributes:
        since_version: the version from which changes were polled; None for the full list.
        lists_before: how many lists had been applied when the poll was sent.
        task: runs the connection.
    """

    connection: PollConnection = field(kw_only=True)
    since_version: int | None = None
    lists_before: int = 0
    task: asyncio.Task[None] = field(init=False)


@dataclass(frozen=True, slots=True)
class _ReceivedList:
    """The list of a response, with its parser and its size on the wire in bytes."""

    endpoint_list: EndpointList
    parser: EndpointListParser
    total_bytes: int


class DiscoveryWatch:
    """Polls the discovery agent and passes each change of the endpoint list to a callback.

    While the agent is unavailable, or sends unusable responses, the last list remains in effect.

    If a response is overdue, another poll is sent on a new connection, and the first one may stay
    open: see `sumacpost.policy.poll_schedule`.
    """

    def __init__(
        self,
        address: Address,
        reader: EndpointListReader,
        version: int,
        on_update: UpdateCallback,
        drain_grace_s: float = inf,
        start_times: StartTimeConverter | None = None,
    ) -> None:
        self._address = address
        self._reader = reader
        self._on_update = on_update
        self._start_times = start_times or StartTimeConverter(Clock().now)
        self._response_timeout_s = max(
            MIN_RESPONSE_TIMEOUT_S,
            min(RESPONSE_TIMEOUT_S, drain_grace_s * RESPONSE_TIMEOUT_GRACE_FRACTION),
        )
        self._schedule = PollSchedule(self._response_timeout_s, drain_grace_s, RECONNECT_DELAY_S)
        self._backoff = PollBackoff()
        self._polls: list[_Poll] = []  # outstanding, oldest first
        self._polls_changed = asyncio.Event()
        self._retry_at = 0.0  # no connection is opened earlier, by the event loop's clock
        self._apply_lock = asyncio.Lock()  # lists are applied one after another
        self._applied_lists = 0
        # Version of the last usable list; None if the full list has to be polled.
        self._version: int | None = version
        # Whether the full list has to be polled although there is a version to poll from.
        self._needs_full_list = False
        self._full_list_bytes = 0  # size of the last full list
        self._full_list_number = 0  # how many lists had been applied with the last full list
        self._agent_available = True

    def change_address(self, address: Address) -> None:
        """Poll another agent, starting with the full list; the caller has to restart run."""
        self._address = address
        self._version = None
        self._polls = []  # the polls of the other agent, which the previous run will cancel
        self._backoff.reset()
        self._retry_at = 0.0

    async def run(self) -> None:
        """Poll until cancelled."""
        self._polls = []
        async with asyncio.TaskGroup() as connections:
            while True:
                await self._wait_until_poll_is_needed()
                if self._polls:
                    self._hedge()
                poll = _Poll(_now(), connection=PollConnection(self._response_timeout_s))
                self._polls.append(poll)
                poll.task = connections.create_task(self._run_connection(poll))

    async def _wait_until_poll_is_needed(self) -> None:
        """Wait until no poll is outstanding, or the youngest one is overdue."""
        while True:
            needed_at = self._retry_at
            if self._polls:
                overdue_at = self._schedule.overdue_at(self._polls) + RECONNECT_DELAY_S
                needed_at = max(needed_at, overdue_at)
            if _now() >= needed_at:
                return
            self._polls_changed.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout_at(None if needed_at == inf else needed_at):
                    await self._polls_changed.wait()

    def _hedge(self) -> None:
        """Prepare for another poll while others are outstanding."""
        if self._agent_available:
            log.warning("discovery response overdue: polling on another connection as well")
        self._agent_available = False
        if self._backoff.is_limited(_now()):
            self._give_up(self._polls[:])  # the limit on bytes holds for all polls together
        elif self._schedule.replaces_youngest(self._polls):
            self._give_up(self._polls[-1:])

    def _give_up(self, polls: list[_Poll]) -> None:
        """Close the connections of outstanding polls."""
        for poll in polls:
            self._polls.remove(poll)
            poll.task.cancel()

    async def _run_connection(self, poll: _Poll) -> None:
        """Poll on one connection until it ends."""
        connection = poll.connection
        try:
            async with asyncio.timeout(self._response_timeout_s):
                await connection.open(self._address, self._backoff.is_limited(_now()))
            while await self._poll(poll):
                pass
            if self._polls[-1:] == [poll]:
                delay_s = self._backoff.next_delay(connection.received_bytes, False, _now())
                self._retry_at = _now() + delay_s
        except (OSError, TimeoutError, ValueError, ResponseError) as error:
            if poll in self._polls:
                self._record_poll_failure(connection.received_bytes, error)
        finally:
            connection.close()
            if poll in self._polls:
                self._polls.remove(poll)
            self._polls_changed.set()

    def _record_poll_failure(self, received_bytes: int, error: Exception) -> None:
        malformed = isinstance(error, EndpointListError | ResponseError)
        delay_s = self._backoff.next_delay(received_bytes, malformed, _now())
        self._retry_at = _now() + delay_s
        if received_bytes or self._agent_available:
            event = "endpoint list rejected" if malformed else "discovery poll failed"
            # As text: a log record with the exception would keep the frames of its traceback.
            log.warning("%s: error=%s retry_after_s=%.3f", event, repr(error), delay_s)
        self._agent_available = False

    async def _poll(self, poll: _Poll) -> bool:
        """Poll once; return whether the connection is to be used for the next poll."""
        limited = self._backoff.is_limited(_now())
        self._send(poll, limited)
        try:
            response, received = await self._receive(poll, limited)
        except (EndpointListError, ResponseError):
            # A full list includes the changes that the response should have contained. If a
            # long full list can't be read, changes to the last usable list may be readable.
            self._needs_full_list = poll.since_version is not None and (
                self._full_list_bytes <= SMALL_LIST_BYTES or self._backoff.failures > 0
            )
            raise
        async with self._apply_lock:
            if self._is_superseded(poll, received):
                return False
            await self._apply(received)
        if poll not in self._polls:
            return False
        self._give_up(self._polls[: self._polls.index(poll)])  # their lists are not newer
        return response.keep_alive and poll is self._polls[-1]

    def _send(self, poll: _Poll, limited: bool) -> None:
        poll.since_version = None if self._needs_full_list and not limited else self._version
        poll.lists_before = self._applied_lists
        poll.receiving = False
        hold_ms = LONG_POLL_MS if self._agent_available else RECOVERY_POLL_MS
        poll.connection.send(encode_poll(poll.since_version, hold_ms))
        poll.due_at = _now() + (0.0 if poll.since_version is None else hold_ms / 1000)
        self._polls_changed.set()

    async def _receive(self, poll: _Poll, limited: bool) -> tuple[Response, _ReceivedList]:
        """Return a response and its list; raise an error if it is late, incomplete or invalid."""

        def begin() -> None:
            poll.receiving = True
            self._schedule.record_response(poll, _now())

        max_bytes = MAX_LIMITED_RESPONSE_BYTES if limited else MAX_LIST_BYTES
        parser = self._reader.new_parser()
        with IncrementalJsonDecoder(parser) as decoder:
            response_reader = ResponseReader(max_bytes, decoder.feed)
            try:
                response = await poll.connection.receive(
                    response_reader, poll.due_at + MAX_OVERDUE_S, begin
                )
            finally:
                response_reader.close()
            check_status(response)
            decoder.finish()
            endpoint_list = parser.result()
            check_version(endpoint_list.update, poll.since_version)
        return response, _ReceivedList(endpoint_list, parser, decoder.total_bytes)

    def _is_superseded(self, poll: _Poll, received: _ReceivedList) -> bool:
        """Return whether a list must not be applied after those applied since its poll was sent."""
        if poll not in self._polls:
            return True  # another agent is polled now
        if poll.lists_before == self._applied_lists:
            return False
        update = received.endpoint_list.update
        if update.kind is UpdateKind.CHANGES and (
            poll.lists_before < self._full_list_number
            or self._version is None
            or not self._reader.has_partition_of(received.parser)
        ):
            return True
        return self._version is not None and update.version < self._version

    async def _apply(self, received: _ReceivedList) -> None:
        """Adopt a list, and pass it to the callback."""
        update = received.endpoint_list.update
        self._reader.adopt(received.parser, update)
        self._start_times.convert(update, live=self._applied_lists > 0)
        self._applied_lists += 1
        if update.kind is UpdateKind.FULL:
            self._full_list_bytes = received.total_bytes
            self._full_list_number = self._applied_lists
        if not self._agent_available:
            log.info("discovery recovered: version=%d", update.version)
        self._agent_available = True
        self._backoff.reset()
        # If the callback raises an exception, the full list is polled next.
        self._version = None
        if update.entries or update.kind is UpdateKind.FULL:
            await self._call_on_update(received.endpoint_list)
        self._version = update.version
        self._needs_full_list = self._reader.needs_repartitioning

    async def _call_on_update(self, endpoint_list: EndpointList) -> None:
        """Call the callback with the list, preceded by batches of changes if the list is long.

        Little is left to do for the last call, so that no call blocks the event loop for long.
        """
        update, addresses = endpoint_list
        for first in range(0, len(update.entries) - UPDATE_BATCH_ENTRIES, UPDATE_BATCH_ENTRIES):
            await asyncio.sleep(0)
            batch = update.entries[first : first + UPDATE_BATCH_ENTRIES]
            self._on_update(
                replace(update, kind=UpdateKind.CHANGES, entries=batch),
                {entry.backend: addresses[entry.backend] for entry in batch},
            )
        if len(update.entries) > UPDATE_BATCH_ENTRIES:
            await asyncio.sleep(0)
        self._on_update(update, addresses)


def _now() -> float:
    return asyncio.get_running_loop().time()
