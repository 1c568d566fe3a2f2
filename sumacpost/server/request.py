"""Validates a client's request and encodes it for a backend."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from sumacpost.errors import RequestError
from sumacpost.model import Idempotency, RequestArrived, Settings
from sumacpost.server.request_reader import RequestMessage

MAX_ACCOUNT = (1 << 33) - 1  # largest customer number in an Account header
MIN_FORWARDED_TIMEOUT_MS = 1.0
# Memory of an accepted request beyond its bytes: objects here and in the policy, and an attempt.
REQUEST_OVERHEAD_BYTES = 8 * 1024
MAX_COPIES = 2  # of the bytes of a request: its own and those that a backend has not read yet

_REQUEST_ID = re.compile(rb"[\x21-\x7e]{1,128}")
_ACCOUNT = re.compile(rb"[0-9a-fA-F]{16}")
_SECONDS = re.compile(rb"\d{1,6}(\.\d{1,9})?")
_QUOTA_INFO = re.compile(rb"units=(\d{1,6}(?:\.\d{1,9})?),spread=(\d{1,6}),first=(\d{1,6})")

# Headers that the ingress itself interprets; each may occur only once.
_INGRESS_HEADERS = frozenset(
    (
        b"request-id",
        b"account",
        b"plan",
        b"request-timeout",
        b"quota-info",
        b"client-retry",
        b"idempotency-key",
    )
)
# Headers that apply to a single connection, and headers that the ingress writes itself.
_NOT_FORWARDED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"transfer-encoding",
        b"expect",
        b"content-length",
        b"request-timeout",
    )
)


class Request:
    """A complete and valid request of a client.

    Attributes:
        id: the value of the Request-Id header.
        body: the decoded body.
        arrival: the event for the gateway; the ingress sets the request's number and the time left.
        retryable: whether another attempt may follow one that the backend may have executed.
        timeout_ms: the timeout that the client has set, in ms.
    """

    __slots__ = ("_head", "arrival", "body", "id", "retryable", "timeout_ms")

    def __init__(
        self, id: bytes, head: bytes, body: bytes, arrival: RequestArrived, retryable: bool
    ) -> None:
        self.id = id
        self._head = head
        self.body = body
        self.arrival = arrival
        self.retryable = retryable
        self.timeout_ms = arrival.time_left_ms

    @property
    def held_bytes(self) -> int:
        """The memory that the request takes until it has its response, in bytes."""
        return REQUEST_OVERHEAD_BYTES + MAX_COPIES * (len(self._head) + len(self.body))

    def encode(self, time_left_ms: float) -> bytes:
        """Encode the request for a backend that has `time_left_ms` to respond.

        At least MIN_FORWARDED_TIMEOUT_MS is written as its Request-Timeout.
        """
        return b"%bRequest-Timeout: %.3f\r\n\r\n%b" % (
            self._head,
            max(time_left_ms, MIN_FORWARDED_TIMEOUT_MS) / 1000,
            self.body,
        )


@dataclass(slots=True)
class _ClassEntry:
    """The index of a request class in the settings, and the idempotency of its requests."""

    index: int
    idempotency: Idempotency


class RequestParser:
    """Validates complete requests against the settings."""

    def __init__(self, settings: Settings) -> None:
        self._classes = {
            b"/" + request_class.name.encode(): _ClassEntry(index, request_class.idempotency)
            for index, request_class in enumerate(settings.classes)
        }
        self._plans = {plan.name.encode(): index for index, plan in enumerate(settings.plans)}
        self._gateways = settings.gateways
        self._max_units = settings.max_units

    def parse(self, message: RequestMessage) -> Request:
        """Return the valid request in the message.

        Raise RequestError with status 404 if the request class is unknown, and with status 400 if
        anything else is missing or malformed. If there are several errors, the first one in the
        order of the checks is reported.
        """
        headers = _unique_headers(message.headers)
        request_class = self._find_class(message.target)
        _check_class_rules(request_class.idempotency, message, headers)
        request_id = _match_header(_REQUEST_ID, headers, b"request-id")[0]
        arrival = self._read_arrival(request_class.index, headers)
        return Request(
            request_id,
            _forwarded_head(message),
            message.body,
            arrival,
            request_class.idempotency is not Idempotency.NOT_IDEMPOTENT,
        )

    def _find_class(self, target: bytes) -> _ClassEntry:
        """Return the request class named by the first path segment.

        Raise RequestError if there is no such class.
        """
        path = target.partition(b"?")[0]
        segment_end = path.find(b"/", 1)
        name = path if segment_end < 0 else path[:segment_end]
        request_class = self._classes.get(name)
        if request_class is None:
            raise RequestError(404, "no such class of requests")
        return request_class

    def _read_arrival(self, class_index: int, headers: Mapping[bytes, bytes]) -> RequestArrived:
        plan = self._plans.get(headers.get(b"plan", b""))
        if plan is None:
            raise RequestError(400, "no such plan")
        account = _match_header(_ACCOUNT, headers, b"account")[0]
        timeout_s = _match_header(_SECONDS, headers, b"request-timeout")[0]
        units, spread, first = _match_header(_QUOTA_INFO, headers, b"quota-info").groups()
        arrival = RequestArrived(
            request=0,
            customer=int(account, 16),
            plan=plan,
            request_class=class_index,
            units=float(units),
            first_gateway=int(first),
            gateway_spread=int(spread),
            time_left_ms=float(timeout_s) * 1000,
            retry=headers.get(b"client-retry") == b"1",
        )
        self._check_ranges(arrival)
        return arrival

    def _check_ranges(self, arrival: RequestArrived) -> None:
        """Raise RequestError for impossible values.

        They would distort the gateway's data about customers and units.
        """
        if arrival.customer > MAX_ACCOUNT:
            raise RequestError(400, "account out of range")
        if not (
            arrival.time_left_ms > 0
            and 0 < arrival.units <= self._max_units
            and 1 <= arrival.gateway_spread <= self._gateways
            and arrival.first_gateway < self._gateways
        ):
            raise RequestError(400, "request-timeout or quota-info out of range")


def _unique_headers(headers: Sequence[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    """Return the headers by name.

    Raise RequestError if a header that the ingress interprets occurs more than once.
    """
    by_name = dict(headers)
    if len(by_name) < len(headers):
        names = [name for name, _ in headers]
        for name in _INGRESS_HEADERS:
            if names.count(name) > 1:
                raise RequestError(400, f"{name.decode()} comes twice")
    return by_name


def _check_class_rules(
    idempotency: Idempotency, message: RequestMessage, headers: Mapping[bytes, bytes]
) -> None:
    """Raise RequestError if method, idempotency key or body do not match the request class."""
    idempotent = idempotency is Idempotency.IDEMPOTENT
    if message.method != (b"GET" if idempotent else b"POST"):
        raise RequestError(400, "the method does not fit the class")
    needs_key = idempotency is Idempotency.IDEMPOTENCY_KEY
    if (b"idempotency-key" in headers) != needs_key:
        raise RequestError(400, "Idempotency-Key does not fit the class")
    if idempotent and message.body:
        raise RequestError(400, "a request of this class has no body")


def _match_header(
    pattern: re.Pattern[bytes], headers: Mapping[bytes, bytes], name: bytes
) -> re.Match[bytes]:
    """Match a whole header value; raise RequestError if it is missing or malformed."""
    match = pattern.fullmatch(headers.get(name, b""))
    if match is None:
        raise RequestError(400, f"{name.decode()} is missing or senseless")
    return match


def _forwarded_head(message: RequestMessage) -> bytes:
    """Return the request line and the end-to-end headers, each with its line ending.

    Request-Timeout and the empty line that ends the head are left out. Content-Length is written
    only for methods that permit a body.
    """
    not_forwarded = _NOT_FORWARDED
    connection = [value for name, value in message.headers if name == b"connection"]
    if named := b",".join(connection):
        not_forwarded |= {name.strip().lower() for name in named.split(b",")} - _INGRESS_HEADERS
    lines = [b"%b %b HTTP/1.1" % (message.method, message.target)]
    lines += [b"%b: %b" % header for header in message.headers if header[0] not in not_forwarded]
    if message.method != b"GET":
        lines.append(b"Content-Length: %d" % len(message.body))
    lines.append(b"")
    return b"\r\n".join(lines)
