"""Measurement of the memory that objects hold."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass


@dataclass
class HeldMemory:
    """The memory that was allocated within a block and is still held at its end, in bytes."""

    size: int = 0


@contextmanager
def measured_memory() -> Iterator[HeldMemory]:
    """Measure what the block allocates and keeps; the result is set when the block ends."""
    held = HeldMemory()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        yield held
        gc.collect()
        held.size = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
