"""The kernel's state of a client's socket, which the event loop may not have detected yet."""

from __future__ import annotations

import errno
import socket
import struct

# TCP states in which the peer has not closed its sending direction: ESTABLISHED (1), and FIN_WAIT1
# (4) and FIN_WAIT2 (5), which follow when this side has closed its own. The state is the first byte
# of TCP_INFO.
_TCP_STATES_PEER_SENDING = frozenset((1, 4, 5))
# Errors of a read that do not imply a disconnected peer: there is nothing to read, the call was
# interrupted, or the system is temporarily short of memory.
_ERRORS_UNRELATED_TO_PEER = frozenset(
    (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOMEM, errno.ENOBUFS)
)
# The part of TCP_INFO up to and including tcpi_last_data_recv, the milliseconds since the last
# data was received; the only field that is read.
_LAST_DATA_AGE_FIELD = struct.Struct("=52xI")


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether the socket's receive buffer contains unread bytes."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def peer_has_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, or closed its sending direction.

    While there are unread bytes, a peek returns only these, so the TCP state is examined instead.
    """
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except OSError as error:
        return error.errno not in _ERRORS_UNRELATED_TO_PEER
    try:
        tcp_state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False  # state not available; a close is detected once the bytes have been read
    return tcp_state not in _TCP_STATES_PEER_SENDING


def unread_input_age_s(sock: socket.socket, max_age_s: float) -> float:
    """Return how long the most recent unread bytes have been in the socket, in seconds.

    Return 0 if there are no unread bytes.

    max_age_s: the longest time for which the socket can have waited unexamined, in seconds. It
        limits the kernel's value, and is returned if the kernel does not provide one.
    """
    if max_age_s <= 0 or not has_unread_input(sock):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_AGE_FIELD.size)
        (age_ms,) = _LAST_DATA_AGE_FIELD.unpack(info)
    except (OSError, struct.error):
        return max_age_s
    return min(max_age_s, float(age_ms) / 1000)
