"""Parses the settings of a gateway from text with one `path=value` pair per line.

The items of a list of scalars are joined by commas. A list of objects has its length at
`path.count`, and the fields of its items at `path.0`, `path.1` and so on.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from sumacpost.errors import CodecError
from sumacpost.model import DeduplicationScope, Idempotency, Plan, RequestClass, Settings
from sumacpost.model.settings import SettingsError, SizeMeaning

_IDEMPOTENCY = {
    "pure": Idempotency.IDEMPOTENT,
    "token": Idempotency.IDEMPOTENCY_KEY,
    "side_effect": Idempotency.NOT_IDEMPOTENT,
}

# The keys of the fields that the model validates, by field name; without those of the same name.
_CLASS_KEY_BY_FIELD = {
    "latency_objective_ms": "aim",
    "deadline_ms": "hard_limit",
    "priority_weight": "points",
    "deduplication_window_ms": "dedup_window",
    "late_priority_weight": "late_worth",
}
_PLAN_KEY_BY_FIELD = {
    "rate": "per_second",
    "burst": "peak_units",
    "open_limit": "at_once",
    "over_quota_weight": "over_worth",
    "over_quota_cost": "excess_cost",
    "ceiling_rate": "cap_rate",
    "ceiling_slack": "tolerance",
}

MAX_QUOTED_LINE = 40  # characters of a malformed line that are quoted in an error


class _SettingsReader:
    """Typed access to the values below one path.

    Its methods raise CodecError, with the path, for a value that is missing or malformed.
    """

    def __init__(self, values: Mapping[str, str], prefix: str = "") -> None:
        self._values = values
        self._prefix = prefix

    def path(self, key: str) -> str:
        """Return the full path of a key."""
        return self._prefix + key

    def text(self, key: str, default: str | None = None) -> str:
        """Return a value as text; a key without a default is required."""
        value = self._values.get(self.path(key), default)
        if value is None:
            raise CodecError(f"settings: {self.path(key)} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        """Return a value as a number, which may be infinite or NaN."""
        text = self.text(key, None if default is None else str(default))
        try:
            return float(text)
        except ValueError:
            raise CodecError(f"settings: {self.path(key)}: {text!r} is not a number") from None

    def integer(self, key: str, default: int | None = None) -> int:
        """Return a value as an integer."""
        value = self.number(key, default)
        if not value.is_integer():
            raise CodecError(f"settings: {self.path(key)}: {value!r} is not a whole number")
        return int(value)

    def boolean(self, key: str) -> bool:
        """Return a value as a boolean; False if it is absent."""
        text = self.text(key, "false")
        if text not in ("true", "false"):
            raise CodecError(f"settings: {self.path(key)}: {text!r} is neither true nor false")
        return text == "true"

    def idempotency(self, key: str) -> Idempotency:
        """Return a required value as an Idempotency."""
        text = self.text(key)
        if text not in _IDEMPOTENCY:
            raise CodecError(f"settings: {self.path(key)}: {text!r} is unknown")
        return _IDEMPOTENCY[text]

    def deduplication_scope(self, key: str) -> DeduplicationScope:
        """Return a value as a DeduplicationScope; ALL if it is absent."""
        text = self.text(key, "all")
        try:
            return DeduplicationScope(text)
        except ValueError:
            raise CodecError(f"settings: {self.path(key)}: {text!r} is unknown") from None

    def size_meaning(self, key: str) -> SizeMeaning:
        """Return a value as a SizeMeaning; NONE if it is absent or unknown.

        Of sizes with an unknown meaning nothing may be assumed, which is what NONE means.
        """
        text = self.text(key, SizeMeaning.NONE.value)
        return next((meaning for meaning in SizeMeaning if meaning.value == text), SizeMeaning.NONE)

    def items(self, key: str) -> list[_SettingsReader]:
        """Return a reader for each item of a list of objects."""
        count = self.integer(f"{key}.count")
        return [_SettingsReader(self._values, self.path(f"{key}.{i}.")) for i in range(count)]

    @contextmanager
    def translating_errors(self, keys: Mapping[str, str]) -> Iterator[None]:
        """Convert a SettingsError to a CodecError that names the key in the text, not the field."""
        try:
            yield
        except SettingsError as error:
            key = keys.get(error.field, error.field)
            raise CodecError(f"settings: {self.path(key)}: {error.reason}") from error


def _split_lines(text: str) -> dict[str, str]:
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        key, equals, value = line.partition("=")
        if not equals:
            raise CodecError(f"settings line {number}: no '=' in {line[:MAX_QUOTED_LINE]!r}")
        values[key] = value
    return values


def _parse_class(reader: _SettingsReader) -> RequestClass:
    idempotency = reader.idempotency("idempotency")
    with reader.translating_errors(_CLASS_KEY_BY_FIELD):
        return RequestClass(
            latency_objective_ms=reader.number("aim"),
            deadline_ms=reader.number("hard_limit"),
            priority_weight=reader.number("points"),
            idempotency=idempotency,
            deduplication_scope=reader.deduplication_scope("group"),
            deduplication_window_ms=reader.number("dedup_window", 0),
            late_priority_weight=reader.number("late_worth", 0),
            name=reader.text("name", ""),
        )


def _parse_plan(reader: _SettingsReader) -> Plan:
    with reader.translating_errors(_PLAN_KEY_BY_FIELD):
        return Plan(
            rate=reader.number("per_second"),
            burst=reader.number("peak_units"),
            open_limit=reader.integer("at_once", 0),
            price=reader.number("price", 1),
            over_quota_weight=reader.number("over_worth", 0),
            over_quota_cost=reader.number("excess_cost", 0),
            ceiling_rate=reader.number("cap_rate", 0),
            ceiling_burst=reader.number("ceiling_burst", 0),
            ceiling_slack=reader.number("tolerance", 0),
            name=reader.text("name", ""),
        )


def _parse_report_fields(reader: _SettingsReader) -> tuple[str, ...]:
    """Return the field names of a load report; empty if backends send no reports."""
    if reader.text("telemetry.via", "off") == "off":
        return ()
    fields = reader.text("telemetry.fields", "")
    return tuple(fields.split(",")) if fields else ()


def parse_settings(text: str) -> Settings:
    """Return the settings in a text; unknown keys are ignored.

    Raise CodecError, or the model's SettingsError; either names the first invalid value.
    """
    reader = _SettingsReader(_split_lines(text))
    classes = [_parse_class(item) for item in reader.items("categories")]
    plans = [_parse_plan(item) for item in reader.items("plans")]
    report_fields = _parse_report_fields(reader)
    return Settings(
        gateways=reader.integer("balancers"),
        index=reader.integer("index"),
        classes=tuple(classes),
        plans=tuple(plans),
        max_attempts=reader.integer("permissions.most_tries"),
        initial_capacity=reader.number("safety.start_capacity"),
        slow_start_ms=reader.number("safety.cold"),
        overload_factor=reader.number("safety.fall_multiple"),
        overload_window_ms=reader.number("safety.overload_for"),
        drain_grace_ms=reader.number("safety.stop_sending_within"),
        connect_timeout_ms=reader.number("permissions.dial_timeout", 250),
        response_grace_ms=reader.number("safety.grace_to_answer", 0),
        zone=reader.integer("locality", 0),
        tick_ms=reader.number("quantum", 1),
        max_units=reader.number("extra.units_top", 1),
        clients_mark_retries=reader.boolean("clients.marks_retry"),
        retry_after=reader.boolean("permissions.retry_after"),
        max_retry_after_ms=reader.number("permissions.max_retry_after", 0),
        hedging=reader.boolean("permissions.parallel_tries"),
        cancel=reader.boolean("permissions.cancel"),
        probes=reader.boolean("permissions.probes"),
        peers=reader.boolean("permissions.may_tell"),
        peer_in_per_s=reader.number("extra.peer_intake", 0),
        counter=reader.boolean("extra.has_counter"),
        counter_timeout_ms=reader.number("extra.count_wait", 0),
        counter_price=reader.number("extra.counter_price", 0),
        meter_ms=reader.number("extra.meter", 0),
        settled_after=reader.boolean("extra.cost_after"),
        report_fields=report_fields,
        size_meaning=reader.size_meaning("weights"),
    )
