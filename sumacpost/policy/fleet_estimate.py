"""What is learnt of the fleet and its backends from the ends of attempts and from load reports."""

from sumacpost.model import AttemptEnded, Outcome, RequestArrived, Settings
from sumacpost.policy.backend import Backend, InFlightAttempt
from sumacpost.policy.latency import FAILURE_WEIGHT, LatencyInflation
from sumacpost.policy.service_time import ServiceTime

PAST_WEIGHT = 0.9  # weight of the past in moving means
OBSERVATION_WEIGHT = 1 - PAST_WEIGHT
UNIT_WEIGHT = 0.01  # how far a response moves the time that a unit of its class takes
MAX_UNIT_STEP = 1.0  # congestion is not learnt as the usual time of a unit
INITIAL_UNITS_PER_OBJECTIVE = 10  # units that are first believed to fit in the latency objective
MIN_UNITS = 0.01  # that a request is taken to use
MAX_SERVICE_FRACTION = 0.2  # of the latency objective: slower requests can't meet it under load
FAILURE_INFLATION = 10.0  # what a failure counts for
MILD_FAILURE_INFLATION = 3.0  # where one connection or one broken response may be the cause
MAX_INFLATION_STEP = 1.5  # an observation counts for this times the fleet's and 1 more at most
OVERDUE_FACTOR = 4.0  # of its expected time: an attempt that takes longer is overdue
MIN_UTILIZATION = 0.5  # a report of a less busy backend tells little
FLEET_CAPACITY_WEIGHT = 0.05  # and that of the fleet's warm ones
REPORT_FIELDS = ("throughput", "utilization")

BACKEND_RESPONDED = (
    Outcome.OK,
    Outcome.ERROR,
    Outcome.REJECTED,
)  # the backend itself has responded
CLASS_FAILURE_OUTCOMES = (
    Outcome.ERROR,
    Outcome.TIMEOUT,
    Outcome.RESET,
)  # may concern one class only
FLEET_OUTCOMES = (Outcome.OK, Outcome.REJECTED, Outcome.TIMEOUT)  # may tell of all backends
INCONCLUSIVE_OUTCOMES = (Outcome.CANCELLED, Outcome.SKIPPED)  # tell nothing of the backend


class FleetEstimate:
    """The fleet's latency inflation, the usual work of requests, and the capacity of backends."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self.inflation = LatencyInflation()  # of the fleet as a whole
        # time that a unit of each class takes on an idle backend
        self.unit_ms = [
            c.latency_objective_ms / INITIAL_UNITS_PER_OBJECTIVE for c in settings.classes
        ]
        self.mean_work_ms = sum(self.unit_ms) / len(self.unit_ms)  # of a request
        self.long_term_mean_work_ms = self.mean_work_ms  # the same over many requests
        self._requests_sent = 0
        initial_ms = self.mean_work_ms * INITIAL_UNITS_PER_OBJECTIVE * MAX_SERVICE_FRACTION
        self.service_time = ServiceTime(initial_ms)
        self._service_time_from_warm = False  # whether it is that of warm backends
        self.warm_capacity_per_s = 0.0  # requests a second of a warm backend, by load reports
        fields = settings.report_fields
        self._report_field_indexes = [fields.index(n) for n in REPORT_FIELDS if n in fields]

    def expected_work_ms(self, event: RequestArrived) -> float:
        """Return how long a request is expected to take on an idle backend, in milliseconds."""
        return self.unit_ms[event.request_class] * max(event.units, MIN_UNITS)

    def observe_work(self, work_ms: float) -> None:
        """Take in the work of a request that is being sent."""
        self.mean_work_ms += (work_ms - self.mean_work_ms) * OBSERVATION_WEIGHT / 2
        self._requests_sent += 1
        weight = max(UNIT_WEIGHT, 1 / (self._requests_sent + 1))
        self.long_term_mean_work_ms += (work_ms - self.long_term_mean_work_ms) * weight

    def overdue_after_ms(self, now: float, work_ms: float, outstanding_requests: float) -> float:
        """Return the time until an attempt is overdue; it grows with the fleet's inflation."""
        inflation = max(1.0, self.inflation.current(now))
        return OVERDUE_FACTOR * inflation * (self.mean_work_ms * outstanding_requests + work_ms)

    def apply_load_report(self, now: float, backend: Backend, report: tuple[float, ...]) -> None:
        """Learn from a load report: throughput over utilization is what a backend can do."""
        if not report or len(self._report_field_indexes) != len(REPORT_FIELDS):
            return
        throughput, utilization = (report[index] for index in self._report_field_indexes)
        is_warm = backend.capacity_fraction(now, self._settings) >= 1
        if is_warm and throughput > 0 and utilization >= MIN_UTILIZATION:
            capacity = throughput / min(utilization, 1.0)
            self.warm_capacity_per_s += (
                capacity - self.warm_capacity_per_s
            ) * FLEET_CAPACITY_WEIGHT

    def observe_attempt(
        self, now: float, backend: Backend, event: AttemptEnded, attempt: InFlightAttempt
    ) -> None:
        """Learn from the end of an attempt: every outcome moves the one measure of health."""
        outcome = event.outcome
        observed = event.elapsed_ms / attempt.outstanding_requests / attempt.work_ms
        fleet_inflation = self.inflation.current(now)
        class_inflation = backend.inflation_by_class[attempt.request_class]
        overdue = outcome is Outcome.CANCELLED and now > attempt.overdue_at
        # where the backend responded meanwhile, just one connection may be silent
        responded_since = backend.responded_at > attempt.sent_at
        connection_silent = outcome is Outcome.TIMEOUT and responded_since
        if outcome in BACKEND_RESPONDED:
            backend.responded_at = now
        if outcome is Outcome.OK:
            self._observe_service_time(now, backend, event.elapsed_ms, attempt)
            class_inflation.observe(now, observed, OBSERVATION_WEIGHT, fleet_inflation)
            step = min(observed - 1, MAX_UNIT_STEP) * UNIT_WEIGHT
            self.unit_ms[attempt.request_class] *= 1 + step
        elif overdue or outcome not in INCONCLUSIVE_OUTCOMES:
            is_mild = overdue or connection_silent or outcome is Outcome.RESET
            value = MILD_FAILURE_INFLATION if is_mild else max(FAILURE_INFLATION, observed)
            concerns_one_class = overdue or outcome in CLASS_FAILURE_OUTCOMES
            for inflation in (
                [class_inflation] if concerns_one_class else backend.inflation_by_class
            ):
                inflation.observe(now, value, FAILURE_WEIGHT, fleet_inflation)
        if outcome in FLEET_OUTCOMES and not connection_silent:
            value = FAILURE_INFLATION / 2 if outcome is Outcome.REJECTED else observed
            bounded = min(value, fleet_inflation * MAX_INFLATION_STEP + 1)
            self.inflation.observe(now, bounded, OBSERVATION_WEIGHT)

    def _observe_service_time(
        self, now: float, backend: Backend, elapsed_ms: float, attempt: InFlightAttempt
    ) -> None:
        """Learn what a request takes, from an attempt that found no other from here.

        How much others slow it down is not known: a backend may work on many at once. Dividing its
        time by their number would show a backend of many cores as one of a single fast one, whose
        capacity grows with each request sent to it.
        """
        if attempt.outstanding_requests > 1:
            return
        is_warm = backend.capacity_fraction(now, self._settings) >= 1
        if self._service_time_from_warm and not is_warm:
            return  # it is slower, and tells nothing of the others
        if is_warm and not self._service_time_from_warm:
            self._service_time_from_warm = True
            self.service_time = ServiceTime(self.service_time.upper_bound_ms(1))
        self.service_time.observe(elapsed_ms, attempt.work_ms / self.long_term_mean_work_ms)
