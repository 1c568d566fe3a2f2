"""What clients, backends, discovery and the process control have seen in one run.

All times are seconds of the monotonic clock, which the processes of one machine share.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Effect(Enum):
    """What repeating a request of a class may do; the values are those of the settings."""

    IDEMPOTENT = "pure"
    KEYED = "token"
    NOT_IDEMPOTENT = "side_effect"


class ClientRequest(msgspec.Struct):
    """One request of a client, and what came back.

    Attributes:
        request_id: its Request-Id.
        ingress: the name of the ingress that it was sent to.
        effect: the effect of its class.
        timeout_s: its Request-Timeout.
        rested_s: for how long its connection had been open, or at rest after a response.
        first_on_connection: whether its connection was new.
        began_at: before its first byte was written.
        sent_at: when its last byte was written; None if it never was.
        left_at: when the client closed its connection, without waiting for the response.
        answered_at: when the last byte of the response was read; None without a whole response.
        status: of the response; 0 without one.
        body: of the response.
        ended_at: when the connection ended before the response was whole.
        received_bytes: of the response, as far as it came.
        extra_bytes: that came after the response, when its connection owed none.
    """

    request_id: str
    ingress: str
    effect: Effect
    timeout_s: float
    first_on_connection: bool
    began_at: float
    rested_s: float = 0.0
    sent_at: float | None = None
    left_at: float | None = None
    answered_at: float | None = None
    status: int = 0
    body: bytes = b""
    ended_at: float | None = None
    received_bytes: int = 0
    extra_bytes: int = 0


class BadClient(msgspec.Struct):
    """A client that sends no valid request, and is owed an error or a close.

    Attributes:
        ingress: the name of the ingress.
        kind: what it does.
        sent_at: when it had written all that it writes.
        concluded_at: when it got an error response, or its connection ended; None if neither came.
    """

    ingress: str
    kind: str
    sent_at: float
    concluded_at: float | None = None


class AttemptResult(Enum):
    """What a backend did with an attempt that it received whole."""

    PENDING = "pending"  # it works on it, or hangs
    SERVED = "served"
    ERROR = "error"
    NOT_STARTED = "not_started"  # with the promise that it has not run
    INVALID = "spoilt"  # a response that no client may get
    ABANDONED = "abandoned"  # the ingress ended the connection


class Attempt(msgspec.Struct):
    """One attempt, as the backend received it.

    Attributes:
        request_id: its Request-Id.
        backend: the uid of the backend.
        incarnation: how often the backend has started anew before.
        idempotency_key: its Idempotency-Key; empty without one.
        told_timeout_s: its Request-Timeout.
        first_byte_at: when its first byte was read.
        received_at: when its last byte was read.
        unbounded: whether its response has no stated length and ends with the connection.
        result: what became of it.
        ended_at: when the response was written, or the connection had ended.
        body: the body that was written.
        unobserved: whether its backend was cut off meanwhile, and so can't tell when it ended.
    """

    request_id: str
    backend: str
    incarnation: int
    idempotency_key: str
    told_timeout_s: float
    first_byte_at: float
    received_at: float
    unbounded: bool = False
    result: AttemptResult = AttemptResult.PENDING
    ended_at: float | None = None
    body: bytes = b""
    unobserved: bool = False


class ProcessRecord(msgspec.Struct):
    """One process of an ingress, from its start to its end.

    Attributes:
        ingress: its name.
        pid: its process id.
        started_at: when it was started.
        ready_at: when it first answered a health check with 200.
        signals: the name and time of each signal that was sent.
        ended_at: when its process had ended.
        exit_code: of the process; negative if a signal ended it.
        descriptors_at_start: how many it had open when it was ready.
        descriptors_at_rest: how many once all clients had gone; None if that was not waited for.
    """

    ingress: str
    pid: int
    started_at: float
    ready_at: float | None = None
    signals: list[tuple[str, float]] = []
    ended_at: float | None = None
    exit_code: int | None = None
    descriptors_at_start: int = 0
    descriptors_at_rest: int | None = None

    def signalled_at(self, name: str) -> float | None:
        """Return when the signal of this name was first sent."""
        return next((at for signal, at in self.signals if signal == name), None)


class ListChange(msgspec.Struct):
    """A change of one backend in the list, as an ingress was told of it.

    Attributes:
        ingress: the name of the ingress; empty for the time at which the list itself changed.
        backend: the uid of the backend.
        state: its new state.
        at: when the response had been written to the ingress.
    """

    ingress: str
    backend: str
    state: str
    at: float


class BackendStart(msgspec.Struct):
    """A backend has started anew, and the list says so.

    Attributes:
        backend: its uid.
        incarnation: how often it has started anew before.
        at: when it was listed as ready.
    """

    backend: str
    incarnation: int
    at: float


class ProcessWait(msgspec.Struct):
    """For how long a process waited for a processor or a disk, or the soak's loop was late.

    Attributes:
        pid: of the process; that of the soak itself too, whose clock dates all other records.
        began_at: the begin of the interval that was looked at.
        ended_at: its end.
        waited_s: the part of it that the process waited.
    """

    pid: int
    began_at: float
    ended_at: float
    waited_s: float


class BrokenConnectionPeriod(msgspec.Struct):
    """A time in which connections that an ingress has made may break at any moment.

    Attributes:
        ingress: its name.
        began_at: when the first could break.
        ended_at: when the last could.
    """

    ingress: str
    began_at: float
    ended_at: float


class RunRecord(msgspec.Struct):
    """All that was seen in one run."""

    requests: list[ClientRequest] = []
    bad_clients: list[BadClient] = []
    attempts: list[Attempt] = []
    lives: list[ProcessRecord] = []
    list_changes: list[ListChange] = []
    backend_starts: list[BackendStart] = []
    faults: dict[str, int] = {}
    waits: list[ProcessWait] = []
    broken_paths: list[BrokenConnectionPeriod] = []
    backend_connections_at_rest: int = 0
