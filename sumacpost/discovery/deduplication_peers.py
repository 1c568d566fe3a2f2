"""The backends of other partitions that a gateway holds so that retries can stay in their cell."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sumacpost.address import Address
from sumacpost.model import BackendId, Endpoint, EndpointStatus

DEDUPLICATION_PEERS_PER_CELL = 2  # backends of other partitions that are held for each cell


class ListedBackend(NamedTuple):
    """An entry of the endpoint list, and where that backend is reached."""

    endpoint: Endpoint
    address: Address


class _Candidate(NamedTuple):
    rank: int
    listed: ListedBackend


class DeduplicationPeers:
    """The candidates for deduplication peers: of each cell, the ready backends of lowest rank.

    A partition has few backends of a cell, but some requests must be retried within the cell of
    their first attempt, where repeats are dropped. For these, backends of other partitions are
    held. The rank differs between gateways, so that they choose different ones.
    """

    def __init__(self, rank: Callable[[BackendId], int]) -> None:
        self._rank = rank
        self._candidates: dict[int, list[_Candidate]] = {}  # by cell, in the order of their ranks

    def __len__(self) -> int:
        return sum(map(len, self._candidates.values()))

    def is_candidate(self, backend: BackendId, status: EndpointStatus, cell: int) -> bool:
        """Return whether a backend of another partition would be a candidate for its cell."""
        if status is not EndpointStatus.READY:
            return False
        candidates = self._candidates.get(cell, [])
        if len(candidates) < DEDUPLICATION_PEERS_PER_CELL:
            return True
        return self._rank(backend) < candidates[-1].rank

    def add(self, listed: ListedBackend) -> None:
        """Hold a backend that is wanted, in place of the candidate of highest rank if need be."""
        candidates = self._candidates.setdefault(listed.endpoint.cell, [])
        candidates.append(_Candidate(self._rank(listed.endpoint.backend), listed))
        candidates.sort(key=lambda candidate: candidate.rank)
        del candidates[DEDUPLICATION_PEERS_PER_CELL:]

    def lowest_ranked(self, cell: int, count: int) -> list[ListedBackend]:
        """Return up to so many candidates for a cell, by rank."""
        return [candidate.listed for candidate in self._candidates.get(cell, [])[:count]]
