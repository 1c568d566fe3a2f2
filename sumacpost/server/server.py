"""The HTTP server for clients."""

from __future__ import annotations

import socket
import time

from sumacpost.address import Address
from sumacpost.ingress import Ingress
from sumacpost.server.connection import ClientConnection
from sumacpost.server.connection_registry import ConnectionRegistry
from sumacpost.server.drain import Drain
from sumacpost.server.listener import Listener
from sumacpost.server.request import RequestParser
from sumacpost.server.request_handler import RequestHandler


class Server:
    """Serves clients on a limited number of connections until it is drained.

    Attributes:
        handler: handles complete requests.
        connections: all client connections.
        listener: accepts connections.
    """

    def __init__(self, ingress: Ingress, parser: RequestParser, max_connections: int) -> None:
        self.handler = RequestHandler(ingress, parser)
        self.connections: ConnectionRegistry[ClientConnection] = ConnectionRegistry(max_connections)
        self.listener = Listener(self.connections, self._new_connection)

    def listen(self, address: Address) -> Address:
        """Start accepting; return the address, with the port chosen by the system for port 0.

        Raise OSError if the address can't be bound.
        """
        return self.listener.open(address)

    def enforce_timeouts(self) -> bool:
        """End the requests and connections whose time limit has passed; call it regularly.

        Return whether there may be more, as only a limited number is ended in a call.
        """
        return self.connections.enforce_timeouts()

    async def drain(self) -> None:
        """Accept late connections and finish all requests.

        Return when all connections have ended or the process has to exit.
        """
        started_at = time.monotonic()
        schedule = self.handler.drain()
        recorder = self.handler.recorder
        await Drain(self.listener, self.connections, schedule, started_at, recorder).run()

    def _new_connection(self, sock: socket.socket, unread_age_s: float) -> ClientConnection:
        return ClientConnection(sock, self.connections, self.handler, unread_age_s)
