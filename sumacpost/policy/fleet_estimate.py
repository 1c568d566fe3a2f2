"""Estimates of fleet and backend performance, from the outcomes of attempts and load reports."""

from sumacpost.model import AttemptEnded, Outcome, RequestArrived, Settings
from sumacpost.policy.backend import Backend, InFlightAttempt
from sumacpost.policy.capacity_estimate import CapacityEstimate
from sumacpost.policy.latency import FAILURE_WEIGHT, LatencyInflation

PAST_WEIGHT = 0.9  # weight of the previous value in moving averages
OBSERVATION_WEIGHT = 1 - PAST_WEIGHT
# Weight of one response in unit_ms, and smallest weight of one request in the long-term mean work.
UNIT_WEIGHT = 0.01
# Bound on the relative error of unit_ms that a response shows, so that latency under congestion is
# not mistaken for the usual time of a unit.
MAX_UNIT_STEP = 1.0
INITIAL_UNITS_PER_OBJECTIVE = 10  # units assumed to fit in the latency objective at the start
MIN_UNITS = 0.01  # lower bound on the units of a request in the estimate of its work
# Initial service time, as a fraction of the latency objective: slower requests could not meet the
# objective under load.
INITIAL_SERVICE_FRACTION = 0.2
FAILURE_INFLATION = 10.0  # lowest inflation that a failure counts as
# Inflation that a failure counts as if one connection or one malformed response may be the cause.
MILD_FAILURE_INFLATION = 3.0
# An observation for the fleet is bounded by the fleet's inflation times this, plus 1.
MAX_INFLATION_STEP = 1.5
OVERDUE_FACTOR = 4.0  # an attempt is overdue after its expected time multiplied by this
REPORT_FIELDS = ("throughput", "utilization")

# Outcomes that are responses of the backend itself.
BACKEND_RESPONDED = (Outcome.OK, Outcome.ERROR, Outcome.REJECTED)
# Failures that may concern one request class only.
CLASS_FAILURE_OUTCOMES = (Outcome.ERROR, Outcome.TIMEOUT, Outcome.RESET)
# Outcomes that may indicate the load of the whole fleet.
FLEET_OUTCOMES = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)
# Outcomes that say nothing about the backend.
INCONCLUSIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.SKIPPED)


class FleetEstimate:
    """The fleet's latency inflation, the mean work of requests, and the capacity of backends.

    The work of a request is its expected time on an idle backend.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.inflation = LatencyInflation()  # of the whole fleet
        # expected time of one unit of each class on an idle backend
        self.unit_ms = [
            c.latency_objective_ms / INITIAL_UNITS_PER_OBJECTIVE for c in settings.classes
        ]
        self.mean_work_ms = sum(self.unit_ms) / len(self.unit_ms)  # mean work of recent requests
        self.long_term_mean_work_ms = self.mean_work_ms  # mean work over many requests
        self._requests_sent = 0
        initial_ms = self.mean_work_ms * INITIAL_UNITS_PER_OBJECTIVE * INITIAL_SERVICE_FRACTION
        self.capacity = CapacityEstimate(settings, initial_ms)
        fields = settings.report_fields
        self._report_field_indexes = [fields.index(n) for n in REPORT_FIELDS if n in fields]

    def expected_work_ms(self, event: RequestArrived) -> float:
        """Return the expected time of a request on an idle backend, in ms."""
        return self.unit_ms[event.request_class] * max(event.units, MIN_UNITS)

    def observe_work(self, work_ms: float) -> None:
        """Update the mean work with a request that is being sent."""
        self.mean_work_ms += (work_ms - self.mean_work_ms) * OBSERVATION_WEIGHT / 2
        self._requests_sent += 1
        weight = max(UNIT_WEIGHT, 1 / (self._requests_sent + 1))
        self.long_term_mean_work_ms += (work_ms - self.long_term_mean_work_ms) * weight

    def overdue_after_ms(
        self, now: float, backend: Backend, work_ms: float, outstanding_requests: float
    ) -> float:
        """Return the time in ms until an attempt is overdue.

        Fleet inflation lengthens it, and so does the usual service time of a slow backend.
        """
        inflation = max(1.0, self.inflation.current(now))
        expected_ms = self.mean_work_ms * outstanding_requests + work_ms
        return OVERDUE_FACTOR * inflation * self.capacity.slowness(backend.endpoint) * expected_ms

    def apply_load_report(self, now: float, backend: Backend, report: tuple[float, ...]) -> None:
        """Update the capacity of a backend from the throughput and utilization of a report."""
        if not report or len(self._report_field_indexes) != len(REPORT_FIELDS):
            return
        throughput, utilization = (report[index] for index in self._report_field_indexes)
        is_warm = backend.capacity_fraction(now, self._settings) >= 1
        self.capacity.observe_report(now, backend.endpoint, is_warm, throughput, utilization)

    def observe_attempt(
        self, now: float, backend: Backend, event: AttemptEnded, attempt: InFlightAttempt
    ) -> None:
        """Update the estimates from the outcome of an attempt.

        Latency inflation is the only measure of health. Failures raise it as slow responses do;
        inconclusive outcomes leave it unchanged, unless an overdue attempt was cancelled.
        """
        outcome = event.outcome
        observed_inflation = event.elapsed_ms / attempt.outstanding_requests / attempt.work_ms
        fleet_inflation = self.inflation.current(now)
        class_inflation = backend.inflation_by_class[attempt.request_class]
        overdue = outcome is Outcome.CANCELLED and now > attempt.overdue_at
        # If the backend has responded in the meantime, only this connection may be broken.
        responded_since = backend.responded_at > attempt.sent_at
        connection_silent = outcome is Outcome.TIMEOUT and responded_since
        if outcome in BACKEND_RESPONDED:
            backend.responded_at = now
        if outcome is Outcome.OK:
            self._observe_service_time(now, backend, event.elapsed_ms, attempt)
            class_inflation.observe(now, observed_inflation, OBSERVATION_WEIGHT, fleet_inflation)
            step = min(observed_inflation - 1, MAX_UNIT_STEP) * UNIT_WEIGHT
            self.unit_ms[attempt.request_class] *= 1 + step
        elif overdue or outcome not in INCONCLUSIVE_OUTCOMES:
            is_mild = overdue or connection_silent or outcome is Outcome.RESET
            value = (
                MILD_FAILURE_INFLATION if is_mild else max(FAILURE_INFLATION, observed_inflation)
            )
            concerns_one_class = overdue or outcome in CLASS_FAILURE_OUTCOMES
            for inflation in (
                [class_inflation] if concerns_one_class else backend.inflation_by_class
            ):
                inflation.observe(now, value, FAILURE_WEIGHT, fleet_inflation)
        if outcome in FLEET_OUTCOMES and not connection_silent:
            value = FAILURE_INFLATION / 2 if outcome is Outcome.REJECTED else observed_inflation
            bounded = min(value, fleet_inflation * MAX_INFLATION_STEP + 1)
            self.inflation.observe(now, bounded, OBSERVATION_WEIGHT)

    def _observe_service_time(
        self, now: float, backend: Backend, elapsed_ms: float, attempt: InFlightAttempt
    ) -> None:
        """Update the service time from an attempt that was this gateway's only one at its backend.

        How far concurrent requests slow each other down is unknown: a backend may process many in
        parallel. Dividing the elapsed time by their number would make a backend with many cores
        look like one with a single fast core, whose capacity grows with each request sent to it.
        """
        if attempt.outstanding_requests > 1:
            return
        is_warm = backend.capacity_fraction(now, self._settings) >= 1
        requests = attempt.work_ms / self.long_term_mean_work_ms
        self.capacity.observe_service_time(backend.endpoint, is_warm, elapsed_ms, requests)
