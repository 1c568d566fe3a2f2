"""The service time: what a request of mean work takes on an otherwise idle backend."""

from math import sqrt

BLOCK_SIZE = 30  # observations averaged in a block
KEPT_BLOCKS = 8
# Margin above a mean, in standard errors; the standard deviation is assumed to equal the mean.
MARGIN_DEVIATIONS = 1.5
MAX_OBSERVATION_RATIO = 4.0  # bound on an observation, as a multiple of the present estimate


class ServiceTime:
    """The lower quartile of the means of the latest blocks of observations.

    Requests may wait for requests of other gateways, which this gateway does not see. So the
    observations are the service time or more, and closest to it at low load. The mean of a block is
    the sum of its times over the sum of its work: small requests wait as long as large ones, and
    would have too much weight in a mean of ratios.
    """

    __slots__ = (
        "_block_size",
        "_blocks",
        "_count",
        "_elapsed_ms",
        "_initial_ms",
        "_mean_ms",
        "_observations",
        "_requests",
    )

    def __init__(self, initial_ms: float, block_size: int = BLOCK_SIZE) -> None:
        """Start with an assumed value, which has the weight of one observation."""
        self._block_size = block_size
        self._mean_ms = initial_ms
        self._initial_ms = initial_ms
        self._observations = 1  # number of observations in the mean
        self._blocks: list[float] = []  # oldest first; takes a tenth of the memory of a deque
        self._count = 0  # observations in the current block
        self._elapsed_ms = 0.0
        self._requests = 0.0  # requests of mean work in the current block

    @property
    def mean_ms(self) -> float:
        """The time of a request of mean work, without a margin, in ms."""
        return self._mean_ms

    def upper_bound_ms(self, gateways: int) -> float:
        """Return the time of a request of mean work, with a margin for few observations, in ms.

        gateways: the number of gateways that share a budget based on it. Their errors partly cancel
            out, as each gateway has its own observations.
        """
        return self._mean_ms * (1 + MARGIN_DEVIATIONS / sqrt(self._observations * gateways))

    def observe(self, elapsed_ms: float, requests: float) -> None:
        """Record the time of a request, and its work in requests of mean work."""
        self._count += 1
        self._elapsed_ms += min(elapsed_ms, MAX_OBSERVATION_RATIO * self._mean_ms * requests)
        self._requests += requests
        if self._count == self._block_size:
            self._blocks.append(self._elapsed_ms / self._requests)
            del self._blocks[:-KEPT_BLOCKS]
            self._mean_ms = sorted(self._blocks)[len(self._blocks) // 4]
            self._observations = self._count
            self._count = 0
            self._elapsed_ms = 0.0
            self._requests = 0.0
        elif not self._blocks:
            # The initial value counts as one more request, of the mean work in this block.
            total_requests = self._requests + self._requests / self._count
            initial_ms = self._initial_ms * self._requests / self._count
            self._mean_ms = (self._elapsed_ms + initial_ms) / total_requests
            self._observations = self._count + 1
