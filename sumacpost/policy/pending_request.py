"""A request without its final response: its attempts, and whether one of them may have run."""

from dataclasses import InitVar, dataclass, field
from math import inf

from sumacpost.model import Idempotency, RequestArrived, RequestClass
from sumacpost.policy.backend import Backend, InFlightAttempt
from sumacpost.policy.endpoint_table import DeduplicationGroup, deduplication_group
from sumacpost.policy.quota import CustomerQuota


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without its final response. Attempts are numbered from 0; times are in ms.

    Attributes:
        event: the arrival of the request.
        request_class: the class of the request.
        customer: the quota that the request draws on.
        work_ms: the expected time of the request on an idle backend.
        now: the time of arrival.
        deadline: when the final response is due.
        objective_deadline: the end of the latency objective, or the client's deadline if it is
            earlier.
        attempted_backends: the backend of each attempt, by attempt number.
        in_flight: the attempts that have not ended, by attempt number.
        may_have_run: whether an attempt may have run.
        pinned_group: the deduplication group that retries by idempotency key are sent to.
        pinned_until: the end of the deduplication window.
    """

    event: RequestArrived
    request_class: RequestClass
    customer: CustomerQuota
    work_ms: float
    now: InitVar[float]
    deadline: float = field(init=False)
    objective_deadline: float = field(init=False)
    attempted_backends: list[Backend] = field(default_factory=list)
    in_flight: dict[int, InFlightAttempt] = field(default_factory=dict)
    may_have_run: bool = False
    pinned_group: DeduplicationGroup | None = None
    pinned_until: float = inf

    def __post_init__(self, now: float) -> None:
        time_left_ms = self.event.time_left_ms
        self.deadline = now + time_left_ms
        self.objective_deadline = now + min(self.request_class.latency_objective_ms, time_left_ms)

    @property
    def is_repeatable(self) -> bool:
        """Whether another attempt, by the gateway or the client, is safe at every backend."""
        idempotent = self.request_class.idempotency is Idempotency.IDEMPOTENT
        return idempotent or not self.may_have_run

    @property
    def has_idempotency_key(self) -> bool:
        """Whether the backends of a deduplication group recognize its key and drop repeats."""
        return self.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY

    @property
    def last_attempt(self) -> int:
        """The number of the latest attempt; -1 before the first attempt."""
        return len(self.attempted_backends) - 1

    def record_possible_execution(self, attempt: int, sent_at: float) -> None:
        """Record that an attempt may have run.

        With an idempotency key, the first such attempt pins the retries to the deduplication group
        of its backend, until the deduplication window ends.
        """
        self.may_have_run = True
        if self.has_idempotency_key and self.pinned_group is None:
            endpoint = self.attempted_backends[attempt].endpoint
            self.pinned_group = deduplication_group(endpoint, self.request_class)
            self.pinned_until = sent_at + self.request_class.deduplication_window_ms
