"""Input of a client that has been read from the socket and not been parsed yet."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from sumacpost.http_message import MAX_BODY_BYTES, MAX_HEAD_BYTES

# Limit of the input that is buffered without being parsed: one more request of any permitted size.
MAX_BUFFERED_BYTES = MAX_HEAD_BYTES + MAX_BODY_BYTES
# Pieces received within this time are joined, so that single bytes don't cost an object each. The
# age of the later bytes is overestimated by this much at most.
JOIN_WINDOW_S = 0.01
PIECE_OVERHEAD_BYTES = 200  # memory of a piece beyond its bytes


@dataclass(slots=True)
class _Piece:
    """Bytes of one or more reads from the socket.

    Attributes:
        received_at: when the first bytes were received, in monotonic seconds.
        data: all bytes.
        offset: how many of them have been taken.
    """

    received_at: float
    data: bytes | bytearray
    offset: int = 0


class InputBuffer:
    """A queue of bytes, each with the time at which it was received.

    Attributes:
        size: the number of bytes.
        received_at: when the bytes taken last were received, in monotonic seconds.
    """

    __slots__ = ("_pieces", "received_at", "size")

    def __init__(self) -> None:
        self._pieces: deque[_Piece] = deque()
        self.received_at = 0.0
        self.size = 0

    def __bool__(self) -> bool:
        return bool(self._pieces)

    @property
    def overflowed(self) -> bool:
        """Whether the buffer contains more than MAX_BUFFERED_BYTES."""
        return self.size > MAX_BUFFERED_BYTES

    @property
    def held_bytes(self) -> int:
        """The memory of the input, in bytes."""
        return self.size + PIECE_OVERHEAD_BYTES * len(self._pieces)

    def append(self, received_at: float, data: bytes) -> None:
        """Append the bytes of one read; received_at: in monotonic seconds."""
        self.size += len(data)
        if self._pieces:
            last = self._pieces[-1]
            if received_at - last.received_at < JOIN_WINDOW_S:
                if isinstance(last.data, bytes):
                    last.data = bytearray(last.data)
                last.data += data
                return
        self._pieces.append(_Piece(received_at, data))

    def take(self, max_bytes: int) -> bytes | bytearray:
        """Remove and return at most max_bytes, received at the same time; update received_at.

        Raise IndexError if the buffer is empty.
        """
        piece = self._pieces[0]
        taken = piece.data[piece.offset : piece.offset + max_bytes]
        piece.offset += len(taken)
        if piece.offset == len(piece.data):
            self._pieces.popleft()
        self.size -= len(taken)
        self.received_at = piece.received_at
        return taken

    def clear(self) -> None:
        """Drop all bytes."""
        self._pieces.clear()
        self.size = 0
