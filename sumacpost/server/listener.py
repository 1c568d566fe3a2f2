"""Accepts client connections, up to the limit of the connection registry."""

from __future__ import annotations

import asyncio
import logging
import select
import socket
import time
from collections.abc import Callable

from sumacpost.address import Address
from sumacpost.server.connection import ClientConnection
from sumacpost.server.connection_registry import ConnectionRegistry
from sumacpost.server.socket_state import unread_input_age_s

log = logging.getLogger(__name__)

# How many connections the kernel queues until they are accepted.
LISTEN_BACKLOG = 1024
# How many connections are accepted in one iteration of the event loop, so that open connections are
# read in between.
MAX_ACCEPTS_PER_ITERATION = 16
# How long accepting is paused after an error, such as a lack of file descriptors or memory.
ACCEPT_RETRY_DELAY_S = 0.05
# How long accepting is paused at most while no connection may be closed for a new one.
ROOM_RETRY_DELAY_S = 0.005


class Listener:
    """A listening socket on which accepting can be paused.

    The server of the event loop can't be paused: it would accept connections beyond the socket
    limit.
    """

    def __init__(
        self,
        registry: ConnectionRegistry[ClientConnection],
        new_connection: Callable[[socket.socket, float], ClientConnection],
    ) -> None:
        self._registry = registry
        self._new_connection = new_connection
        self._loop = asyncio.get_running_loop()
        # Strong references, as the event loop keeps only weak references to tasks.
        self._opening_tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket
        self.accepting = False
        self.last_accept_at = 0.0  # monotonic seconds
        # The time from which connections may have been waiting in the kernel's queue, in monotonic
        # seconds; None after the queue has been emptied.
        self._backlog_since: float | None = None
        self._retry_timer: asyncio.TimerHandle | None = None
        registry.on_capacity_available = self.resume

    def open(self, address: Address) -> Address:
        """Start accepting; return the address, with the port chosen by the system for port 0.

        Raise OSError if the address can't be bound.
        """
        self._socket = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self.resume()
        host, port = self._socket.getsockname()[:2]
        return host, port

    def close(self) -> None:
        """Stop accepting; the kernel resets the connections that have not been accepted."""
        self.pause()
        self._socket.close()

    def resume(self) -> None:
        """Accept connections as they arrive, unless the listener is closed."""
        if not self.accepting and self._socket.fileno() >= 0:
            self.accepting = True
            self._loop.add_reader(self._socket.fileno(), self.accept)

    def pause(self) -> None:
        """Leave further connections in the kernel's queue."""
        if self.accepting:
            self.accepting = False
            self._backlog_since = self._backlog_since or time.monotonic()
            self._loop.remove_reader(self._socket.fileno())

    def accept(self, limit: int = MAX_ACCEPTS_PER_ITERATION) -> bool:
        """Accept at most `limit` connections; return whether the kernel's queue is empty."""
        for _ in range(limit):
            if self._registry.is_full:
                if not self._has_queued_connection():
                    self._backlog_since = None
                    return True
                if not self._registry.make_room():
                    self._pause_for(ROOM_RETRY_DELAY_S)
                    return False
            try:
                sock, _ = self._socket.accept()
            except BlockingIOError:
                self._backlog_since = None
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue  # this client has disconnected; more connections may be queued
            except OSError as error:
                self._pause_after(error)
                return False
            self._open_connection(sock)
        self._backlog_since = self._backlog_since or time.monotonic()
        return False

    def _has_queued_connection(self) -> bool:
        """Return whether a connection is waiting in the kernel's queue.

        Asked before a connection is closed for a new one, which would otherwise be done in vain.
        """
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        return bool(poll.poll(0))

    def _pause_after(self, error: OSError) -> None:
        log.warning("accepting paused: error=%s retry_after_s=%s", error, ACCEPT_RETRY_DELAY_S)
        self._pause_for(ACCEPT_RETRY_DELAY_S)

    def _pause_for(self, delay_s: float) -> None:
        """Pause until the registry reports capacity, for the given time at most.

        Not every change is reported: input that is read, or output that is sent, may allow a
        connection to be closed.
        """
        self.pause()
        if self._retry_timer is None:
            self._retry_timer = self._loop.call_later(delay_s, self._retry)

    def _retry(self) -> None:
        self._retry_timer = None
        self.resume()

    def _open_connection(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        now = time.monotonic()
        self.last_accept_at = now
        queued_s = 0.0 if self._backlog_since is None else now - self._backlog_since
        unread_age_s = unread_input_age_s(sock, queued_s)
        self._registry.connection_accepted()
        task = self._loop.create_task(self._connect_transport(sock, unread_age_s))
        self._opening_tasks.add(task)
        task.add_done_callback(self._opening_tasks.discard)

    async def _connect_transport(self, sock: socket.socket, unread_age_s: float) -> None:
        try:
            await self._loop.connect_accepted_socket(
                lambda: self._new_connection(sock, unread_age_s), sock
            )
        except OSError:
            sock.close()
            self._registry.connection_failed()
