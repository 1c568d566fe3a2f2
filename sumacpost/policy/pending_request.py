"""A request that has no final answer yet: what has been tried, and what may have run."""

from dataclasses import InitVar, dataclass, field
from math import inf

from sumacpost.model import Idempotency, RequestArrived, RequestClass
from sumacpost.policy.backend import Backend, InFlightAttempt
from sumacpost.policy.endpoint_table import DeduplicationGroup, deduplication_group
from sumacpost.policy.quota import CustomerQuota


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet; attempts are numbered from 0."""

    event: RequestArrived
    request_class: RequestClass
    customer: CustomerQuota
    work_ms: float  # milliseconds that it is expected to take on an idle backend
    now: InitVar[float]
    deadline: float = field(init=False)
    objective_deadline: float = field(init=False)  # when its latency objective ends
    attempted_backends: list[Backend] = field(default_factory=list)  # by the attempt's number
    in_flight: dict[int, InFlightAttempt] = field(default_factory=dict)  # by the same
    possibly_executed: bool = False
    pinned_group: DeduplicationGroup | None = None  # what its retries must keep to
    pinned_until: float = inf  # the end of its deduplication window

    def __post_init__(self, now: float) -> None:
        time_left_ms = self.event.time_left_ms
        self.deadline = now + time_left_ms
        self.objective_deadline = now + min(self.request_class.latency_objective_ms, time_left_ms)

    @property
    def is_repeatable(self) -> bool:
        """Whether another attempt, of the gateway or the client, can do no harm anywhere."""
        idempotent = self.request_class.idempotency is Idempotency.IDEMPOTENT
        return idempotent or not self.possibly_executed

    @property
    def has_idempotency_key(self) -> bool:
        """Whether backends of one deduplication group drop its repeats."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def last_attempt(self) -> int:
        """The number of the attempt sent last, -1 before the first."""
        return len(self.attempted_backends) - 1

    def record_possible_execution(self, attempt: int, sent_at: float) -> None:
        """Note that an attempt may have run; a key pins its retries to the group that knows it."""
        self.possibly_executed = True
        if self.has_idempotency_key and self.pinned_group is None:
            endpoint = self.attempted_backends[attempt].endpoint
            self.pinned_group = deduplication_group(endpoint, self.request_class)
            self.pinned_until = sent_at + self.request_class.deduplication_window_ms
