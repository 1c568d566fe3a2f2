"""The model of pairs of gateways and backends."""

from __future__ import annotations

import pytest

from fleetlab import pairs


def test_four_gateways_by_rank_have_six_of_eight_backends_each() -> None:
    """Counted by hand; so every backend has three gateways."""
    rank = pairs.measure("rank", 4, 8)
    assert (rank.users_least, rank.users_most) == (3, 3)
    assert (rank.kept_least, rank.kept_most) == (6, 6)


def test_a_replacement_makes_fewer_new_pairs_by_subset_than_by_rank() -> None:
    rank = pairs.measure("rank", 200, 200, replacements=5)
    subset = pairs.measure("subset", 200, 200, replacements=5)
    assert subset.users_least >= 3
    assert subset.new_pairs_mean < rank.new_pairs_mean / 2


def test_a_long_list_is_divided_into_partitions() -> None:
    divided = pairs.measure("subset", 200, 3000, replacements=1)
    assert divided.users_least >= 3
    assert pairs.SubsetScheme(200, 3000).partition_count == 4


def test_an_unknown_scheme_is_an_error_that_names_the_known_ones() -> None:
    with pytest.raises(ValueError, match="rank, subset"):
        pairs.measure("ring", 4, 8)
