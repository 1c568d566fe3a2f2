"""Tests of the model of pairs of gateways and backends."""

from __future__ import annotations

import pytest

from fleetlab import pairs


def test_rank_scheme_gives_four_gateways_six_of_eight_backends_each() -> None:
    """Counted by hand: 4 x 6 pairs for 8 backends are three gateways per backend."""
    rank = pairs.measure("rank", 4, 8)
    assert (rank.users_least, rank.users_most) == (3, 3)
    assert (rank.kept_least, rank.kept_most) == (6, 6)


def test_a_replacement_adds_fewer_pairs_in_the_subset_scheme_than_in_the_rank_scheme() -> None:
    rank = pairs.measure("rank", 200, 200, replacements=5)
    subset = pairs.measure("subset", 200, 200, replacements=5)
    assert subset.users_least >= 3
    assert subset.new_pairs_mean < rank.new_pairs_mean / 2


def test_the_subset_scheme_divides_a_long_list_into_partitions() -> None:
    figures = pairs.measure("subset", 200, 3000, replacements=1)
    assert figures.users_least >= 3
    assert pairs.SubsetScheme(200, 3000).partition_count == 4


def test_the_error_for_an_unknown_scheme_lists_the_known_ones() -> None:
    with pytest.raises(ValueError, match="rank, subset"):
        pairs.measure("ring", 4, 8)
