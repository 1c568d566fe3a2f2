"""What a request of usual work takes on a backend that has no other."""

from collections import deque
from math import sqrt

BLOCK_SIZE = 30  # observations that are averaged
KEPT_BLOCKS = 8
MARGIN_DEVIATIONS = (
    1.5  # of a mean, in standard deviations as large as the mean: it may be longer by it
)
MAX_STEP = 4.0  # an observation counts for this times what is known at most


class ServiceTime:
    """The mean of one of the calmer of the latest blocks of observations.

    Requests wait for others that a gateway does not see. So an observation is the service time or
    more, and nearest to it while the fleet is calm. A block is the sum of its times over the sum of
    its work: small requests wait as long as large ones, and would weigh too much one by one.
    """

    def __init__(self, initial_ms: float) -> None:
        """Take what is believed before the first observation; it weighs as much as one."""
        self._mean_ms = initial_ms
        self._initial_ms = initial_ms
        self._observations = 1  # that the mean is of
        self._blocks: deque[float] = deque(maxlen=KEPT_BLOCKS)
        self._count = 0  # of the block that is being filled
        self._elapsed_ms = 0.0
        self._requests = 0.0  # of usual work

    def upper_bound_ms(self, gateways: int) -> float:
        """Return what a request of usual work takes, or more where little is known of it.

        gateways: how many share what is decided by it. Their errors cancel out, as each has
        observations of its own.
        """
        return self._mean_ms * (1 + MARGIN_DEVIATIONS / sqrt(self._observations * gateways))

    def observe(self, elapsed_ms: float, requests: float) -> None:
        """Take in what a request took, and how many of usual work it stands for."""
        self._count += 1
        self._elapsed_ms += min(elapsed_ms, MAX_STEP * self._mean_ms * requests)
        self._requests += requests
        if self._count == BLOCK_SIZE:
            self._blocks.append(self._elapsed_ms / self._requests)
            self._mean_ms = sorted(self._blocks)[len(self._blocks) // 4]
            self._observations = self._count
            self._count = 0
            self._elapsed_ms = 0.0
            self._requests = 0.0
        elif not self._blocks:
            known_requests = self._requests + self._requests / self._count
            initial_ms = self._initial_ms * self._requests / self._count
            self._mean_ms = (self._elapsed_ms + initial_ms) / known_requests
            self._observations = self._count + 1
