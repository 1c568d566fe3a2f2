"""The base class of the stand-in servers: their listeners and the tasks of their connections."""

from __future__ import annotations

import asyncio
import os
import socket
import struct
import time
from contextlib import suppress

LOOPBACK = "127.0.0.1"
# The field tcpi_last_data_recv of TCP_INFO, at an offset of 52 bytes: ms since data was received.
TCP_INFO_LAST_DATA_RECV = struct.Struct("=52xI")
_CLOCK_MONOTONIC_COARSE = 6  # the clock that the system's timers use; Python has no name for it
_TICK_S = time.clock_getres(_CLOCK_MONOTONIC_COARSE)
LINGER_RESET = struct.pack("ii", 1, 0)  # for SO_LINGER: closing sends a reset


class StandInServer:
    """A server on loopback that closes all of its connections when it stops.

    A subclass listens with `_listen` and handles each connection in `_serve`.
    """

    def __init__(self) -> None:
        self._listeners: list[asyncio.Server] = []
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def stop(self) -> None:
        """Close all listeners and connections."""
        for listener in self._listeners:
            listener.close()
        for task in list(self._connection_tasks):
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _listen(self, sock: socket.socket | None = None) -> str:
        """Listen on a bound socket, or on a port chosen by the system; return host and port."""
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
            pass  # the peer has closed the connection or sent an invalid message
        except asyncio.CancelledError:
            pass  # cancelled by stop(); asyncio's callback would log this as an error
        finally:
            self._connection_tasks.discard(task)
            self._close_connection(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection until it ends."""
        raise NotImplementedError

    def _close_connection(self, writer: asyncio.StreamWriter) -> None:
        writer.close()


def reserve_port(port: int = 0) -> socket.socket:
    """Bind a loopback port without listening, so that the system assigns it to no other socket.

    Connections are refused until another socket listens on the port. That socket needs
    SO_REUSEADDR, which the listeners of an event loop have. Port 0: one chosen by the system.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind((LOOPBACK, port))
    return reserved


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a reset."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    transport.abort()


def last_data_age_s(transport: asyncio.Transport) -> float:
    """Return the time in s since the system last received data on a connection, rounded down.

    A lagging event loop reads and accepts late; this value shows when the data arrived. The system
    measures the time with a clock that advances in ticks, so up to one tick is too much. Return 0
    if the system does not report it.
    """
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None:
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_LAST_DATA_RECV.size)
        (age_ms,) = TCP_INFO_LAST_DATA_RECV.unpack(info)
    except (OSError, struct.error):
        return 0.0
    return max(0.0, float(age_ms) / 1000 - _TICK_S)


def write_immediately(transport: asyncio.Transport, data: bytes, half_close: bool = False) -> None:
    """Pass data to the system now, followed by the end of the stream if `half_close` is set.

    A transport does both only at the end of the loop's iteration, which may be late. Data that the
    system does not accept is left to the transport, and the end of the stream is then not sent.
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
    """Return an address as host:port, the form used in the configuration."""
    host, port = socket_name
    return f"{host}:{port}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of an address given as host:port."""
    host, _, port = address.rpartition(":")
    return host, int(port)
