"""Logging to standard error that never blocks the event loop.

A pipe whose reader has stopped would block the process, with all its requests, at the next log
line. So a line that can't be written immediately is dropped, and the next line that is written
reports the number of dropped lines.
"""

from __future__ import annotations

import logging
import os
import stat
from contextlib import suppress

LOG_FORMAT = "%(asctime)s %(levelname)s %(message)s"
# A write of up to this size to a pipe is atomic. A longer line, such as a traceback, is written in
# several parts and may be truncated.
MAX_ATOMIC_BYTES = 4096
MAX_RECORD_CHARACTERS = 16 * 1024  # a longer record, such as one of an endpoint list, is cut short
LAST_STANDARD_DESCRIPTOR = 2


class DroppingLogHandler(logging.Handler):
    """Writes each record to a descriptor without waiting, or drops it.

    Attributes:
        dropped: the number of lines dropped since the last line that was written.
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
        """Write one record; drop it if the stream reports an error."""
        text = self.format(record)
        if len(text) > MAX_RECORD_CHARACTERS:
            text = f"{text[:MAX_RECORD_CHARACTERS]} [cut short: characters={len(text)}]"
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
    """Open the null device on each standard descriptor that is closed.

    Otherwise the next socket would get that descriptor number and receive the log, and the event
    loop would abort the process when it closes a descriptor of its own with such a number.
    """
    while (descriptor := os.open(os.devnull, os.O_RDWR)) <= LAST_STANDARD_DESCRIPTOR:
        pass
    os.close(descriptor)


def log_to_standard_error() -> None:
    """Configure all loggers to write to standard error, at level INFO and above."""
    logging.basicConfig(level=logging.INFO, handlers=[DroppingLogHandler(2)])
