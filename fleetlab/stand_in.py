"""The base of the stand-in servers: their listeners and the tasks of their connections."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from contextlib import suppress

LOOPBACK = "127.0.0.1"
# Of TCP_INFO: the milliseconds since the last data came, and how much is read to get there.
TCP_INFO_LAST_DATA_RECV = struct.Struct("=52xI")
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing sends RST


class StandInServer:
    """A server on loopback whose connections all end with it.

    A subclass listens with `_listen` and handles one connection in `_serve`.
    """

    def __init__(self) -> None:
        self._listeners: list[asyncio.Server] = []
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Close all ports and all connections."""
        for listener in self._listeners:
            listener.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _listen(self, sock: socket.socket | None = None) -> str:
        """Listen on a bound socket, or on a port of the system's choice; return host and port."""
        if sock is None:
            listener = await asyncio.start_server(self._run_connection, LOOPBACK, 0)
        else:
            listener = await asyncio.start_server(self._run_connection, sock=sock)
        self._listeners.append(listener)
        return format_address(listener.sockets[0].getsockname())

    async def _run_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        try:
            await self._serve(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError):
            pass  # the peer has left, or sent what is no message
        except asyncio.CancelledError:
            pass  # by stop(): asyncio's own callback would log it as an error
        finally:
            self._connection_tasks.discard(task)
            self._close_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError

    def _close_connection(self, writer: asyncio.StreamWriter) -> None:
        writer.close()


def reset_connection(transport: asyncio.Transport) -> None:
    """End a connection with a reset."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def last_data_age_s(transport: asyncio.Transport) -> float:
    """Return for how long the last bytes that came had lain there, by the system's account.

    A loop that is late reads and accepts late; this tells when the bytes came. 0 if it isn't told.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECV.size)
        (age_ms,) = TCP_INFO_LAST_DATA_RECV.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return float(age_ms) / 1000


def write_immediately(transport: asyncio.Transport, data: bytes, half_close: bool = False) -> None:
    """Hand bytes to the system now, and the end of the connection behind them if that is asked.

    A transport does both only at the end of the loop's turn, which may be late. Bytes that the
    system does not take are left to the transport.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None and not transport.get_write_buffer_size() and not transport.is_closing():
        with suppress(OSError):
            data = data[os.write(sock.fileno(), data) :]
            if half_close and not data:
                with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
                    duplicate.shutdown(socket.SHUT_WR)
    if data:
        transport.write(data)


def format_address(socket_name: tuple[str, int]) -> str:
    """Return host and port as the configuration writes them."""
    host, port = socket_name
    return f"{host}:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address as the configuration writes it."""
    host, _, port = address.rpartition(":")
    return host, int(port)
