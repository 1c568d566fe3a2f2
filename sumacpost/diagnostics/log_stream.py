"""The log's way to standard error, which never holds up the event loop.

A pipe whose reader has stopped would block the process at the next line, with all its requests. So
a line that the stream does not take at once is dropped, and how many were is told in the next one.
"""

from __future__ import annotations

import logging
import os
import stat
from contextlib import suppress

LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"
# A pipe takes so much as a whole or not at all; a longer line, such as a traceback, may be cut.
MAX_ATOMIC_BYTES = 4096
LAST_STANDARD_DESCRIPTOR = 2


class DroppingLogHandler(logging.Handler):
    """Writes each record to a descriptor at once, or drops it.

    Attributes:
        dropped: lines that were dropped since the last one that was written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.setFormatter(logging.Formatter(LOG_FORMAT))
        self.dropped = 0
        self._descriptor = descriptor
        with suppress(OSError):
            mode = os.fstat(descriptor).st_mode
            if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
                os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record; an error of the stream is no error of the program."""
        text = self.format(record)
        if self.dropped:
            text += f"\nlog lines dropped: count={self.dropped}"
        data = text.encode("utf-8", "backslashreplace") + b"\n"
        try:
            while data:
                data = data[os.write(self._descriptor, data[:MAX_ATOMIC_BYTES]) :]
        except OSError:
            self.dropped += 1
        else:
            self.dropped = 0


def reserve_standard_descriptors() -> None:
    """Open the null device at each standard descriptor that is closed.

    Otherwise the next socket would get its number, and be sent the log; and the event loop aborts
    the process as it closes a descriptor of its own with such a number.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= LAST_STANDARD_DESCRIPTOR:
        pass
    os.close(descriptor)


def log_to_standard_error() -> None:
    """Let all loggers write to standard error, from level INFO on."""
    logging.basicConfig(level=logging.INFO, handlers=[DroppingLogHandler(2)])
