"""What the system knows of a client's socket, which the event loop may not have learnt yet."""

from __future__ import annotations

import errno
import socket
import struct

# The states that TCP_INFO begins with as long as the peer has not ended its sending: established,
# and the two after this side has ended its own.
_TCP_STATES_PEER_SENDING = frozenset((1, 4, 5))
# Errors of a look at a socket that say nothing of its peer: there is nothing to read, or the system
# is short of memory for the moment.
_ERRORS_UNRELATED_TO_PEER = frozenset(
    (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOMEM, errno.ENOBUFS)
)
# Of TCP_INFO: where the milliseconds since the last data came stand, and up to where it is read.
_LAST_DATA_AGE_FIELD = struct.Struct("=52xI")


def has_unread_input(sock: socket.socket) -> bool:
    """Return whether bytes stand in the socket."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def peer_has_disconnected(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, or ended its sending.

    Behind unread bytes a peek shows just these; there the state of the connection tells it.
    """
    try:
        if not sock.recv(1, socket.MSG_PEEK):
            return True
    except OSError as error:
        return error.errno not in _ERRORS_UNRELATED_TO_PEER
    try:
        tcp_state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
    except OSError:
        return False  # a system that doesn't tell: it shows once the bytes are read
    return tcp_state not in _TCP_STATES_PEER_SENDING


def unread_input_age_s(sock: socket.socket, max_age_s: float) -> float:
    """Return for how many seconds the last of the unread bytes have stood in the socket.

    0 where there are none. at_most_s bounds what the system says, and is returned where it does
    not say: it is for how long nobody has looked.
    """
    if max_age_s <= 0 or not has_unread_input(sock):
        return 0.0
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _LAST_DATA_AGE_FIELD.size)
        (age_ms,) = _LAST_DATA_AGE_FIELD.unpack(info)
    except (OSError, struct.error):
        return max_age_s
    return min(max_age_s, float(age_ms) / 1000)
