"""Tests of synthetic ingresses that share a process."""

from __future__ import annotations

import json
from dataclasses import replace

from fleetlab.site import endpoint_entries
from fleetlab.synthetic_ingress import SyntheticIngress
from fleetlab.synthetic_messages import SyntheticSpec
from fleetlab.synthetic_process import make_configs
from sumacpost.discovery.endpoint_list import EndpointListReader
from sumacpost.model import EndpointListUpdate, EndpointStatus, UpdateKind
from tests.fleetlab.support import UNUSED_ENDPOINTS
from tests.support.event_loop import run


def test_ingresses_of_one_process_have_separate_state() -> None:
    """An ingress must not change the list, the quota or the counts of another one."""

    async def scenario() -> None:
        spec = SyntheticSpec(
            ingresses=2, gateways=6, discovery=UNUSED_ENDPOINTS[0], burst=6.0, seed=1
        )
        one, other = (SyntheticIngress(config) for config in make_configs(spec))
        full_list = {"rev": 4, "all": True, "targets": endpoint_entries(9, UNUSED_ENDPOINTS)}
        update, addresses = EndpointListReader("abc", ()).read(json.dumps(full_list).encode())
        one.update_endpoints(update, addresses)
        assert (len(one.addresses), one.version) == (9, 4)
        assert (len(other.addresses), other.version) == (0, 0)

        for _ in range(4):
            one.simulate_request(5, 0)
        # The customer's requests go to 3 ingresses, each with a third of the burst of 6 units.
        assert (one.counts.sent, one.counts.rejected) == (2, 2)
        other.update_endpoints(update, addresses)
        other.simulate_request(5, 0)
        counts = other.counts
        assert (counts.arrived, counts.sent, counts.rejected) == (1, 1, 0)

        left_entries = [replace(entry, state=EndpointStatus.GONE) for entry in update.entries[1:]]
        one.update_endpoints(EndpointListUpdate(UpdateKind.CHANGES, left_entries, 5), {})
        assert (len(one.addresses), len(other.addresses)) == (1, 9)

    run(scenario())
