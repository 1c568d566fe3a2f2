"""Backends of other partitions that a gateway keeps so that retries can stay in their cell."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from sumacpost.address import Address
from sumacpost.model import BackendId, Endpoint, EndpointStatus

DEDUPLICATION_PEERS_PER_CELL = 2  # backends of other partitions
MAX_CANDIDATE_CELLS = 16 * 1024  # five times the cells of the largest planned fleet


class ListedBackend(NamedTuple):
    """An entry of the endpoint list, and the address of its backend."""

    endpoint: Endpoint
    address: Address


class _Candidate(NamedTuple):
    rank: int
    listed: ListedBackend


class DeduplicationPeers:
    """The candidates for deduplication peers: for each cell, the ready backends of lowest rank.

    A partition contains few backends of a cell, but some requests must be retried within the cell
    of their first attempt, which drops duplicates. Backends of other partitions are kept for these
    retries. The rank differs between gateways, so that gateways choose different backends.
    """

    def __init__(self, rank: Callable[[BackendId], int]) -> None:
        self._rank = rank
        self._candidates: dict[int, list[_Candidate]] = {}  # by cell, in order of rank

    def __len__(self) -> int:
        return sum(map(len, self._candidates.values()))

    def is_candidate(self, backend: BackendId, status: EndpointStatus, cell: int) -> bool:
        """Return whether a backend of another partition qualifies as a candidate for its cell."""
        if status is not EndpointStatus.READY:
            return False
        candidates = self._candidates.get(cell)
        if candidates is None:
            return len(self._candidates) < MAX_CANDIDATE_CELLS
        if len(candidates) < DEDUPLICATION_PEERS_PER_CELL:
            return True
        return self._rank(backend) < candidates[-1].rank

    def add(self, listed: ListedBackend) -> None:
        """Add a candidate to its cell; drop the candidate of highest rank if there are too many."""
        candidates = self._candidates.setdefault(listed.endpoint.cell, [])
        candidates.append(_Candidate(self._rank(listed.endpoint.backend), listed))
        candidates.sort(key=lambda candidate: candidate.rank)
        del candidates[DEDUPLICATION_PEERS_PER_CELL:]

    def lowest_ranked(self, cell: int, count: int) -> list[ListedBackend]:
        """Return at most `count` candidates for a cell, in order of rank."""
        return [candidate.listed for candidate in self._candidates.get(cell, [])[:count]]
