"""Hosts whose store comes back from a copy: writes are lost, and revisions are reused."""

from __future__ import annotations

import asyncio

import pytest

from cloverway.serving.clock import read_clock
from cloverway.tests.fleet.deployment import RUNNING_S, run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import make_route, make_service
from cloverway.tests.standins.links import Link

APPLY_TIMEOUT_S = 4.0
"""The time within which a change that the store has accepted is in force at all hosts."""
LOSSES = pytest.mark.parametrize(("hosts", "lost"), [(1, 1), (3, 60)])
"""The hosts of the fleet, and the number of writes that its store loses."""


async def lose_writes(fleet, count, away_s=0.5):
    """Let the store be away, and come back without its last writes, all of which hosts know."""
    copy = fleet.store.copy()
    for number in range(count):
        fleet.store.put(f"op/evacuate/unknown-{number}", {})
    revision = fleet.store.revision
    await wait_for(lambda: all(h.catalogue.table.revision == revision for h in fleet.hosts))
    await restore(fleet, copy, away_s)


async def restore(fleet, copy, away_s):
    fleet.store.status = 503
    await asyncio.sleep(away_s)
    fleet.store.restore(copy)
    fleet.store.status = 200


def publish_route(fleet, name):
    fleet.publish([make_route(name, "idempotent", "desk")], [make_service("desk")])


async def wait_for_version(fleet, hosts):
    def is_in_force():
        return all(h.directory.configuration.version == fleet.version for h in hosts)

    await wait_for(is_in_force, APPLY_TIMEOUT_S)


async def wait_for_epoch(fleet):
    epoch = int(fleet.store.epoch)
    await wait_for(lambda: all(h.catalogue.table.position.epoch == epoch for h in fleet.hosts))


def is_leaving(host, name):
    endpoint = host.directory.endpoints.get(name)
    usable = host.directory.list_usable("desk", read_clock())
    return endpoint is None or endpoint not in usable


def test_a_new_epoch_of_the_store_is_logged(caplog):
    """Without it, a store that has lost writes can't be told from one that answers late."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            with caplog.at_level("INFO"):
                fleet.store.epoch = b"3"
                fleet.store.put("op/evacuate/d2", {})
                await wait_for(lambda: "store_epoch" in caplog.messages, 4.0)
            record = next(r for r in caplog.records if r.message == "store_epoch")
            assert (record.before, record.epoch) == (0, 3)

    run_scenario(scenario)


@LOSSES
def test_a_configuration_published_after_the_store_lost_writes_is_in_force(hosts, lost):
    """Guards against hosts that take all that the store says for older than what they know."""

    async def scenario():
        async with run_fleet(hosts, endpoints=1) as fleet:
            await lose_writes(fleet, lost)
            publish_route(fleet, "new")
            await wait_for_version(fleet, fleet.hosts)
            assert (await fleet.call("/new/a")).status == 200

    run_scenario(scenario)


@LOSSES
def test_an_endpoint_that_leaves_after_the_store_lost_writes_gets_no_requests(hosts, lost):
    """Guards against requests to an endpoint whose draining entry no host has read."""

    async def scenario():
        async with run_fleet(hosts) as fleet:
            await lose_writes(fleet, lost)
            leaving = fleet.endpoints["desk-0"]
            fleet.store.put("servers/desk-0", leaving.make_entry(state="draining"))
            await wait_for(lambda: all(is_leaving(h, "desk-0") for h in fleet.hosts), 4.0)
            for number in range(6):
                assert (await fleet.call(f"/safe/{number}")).status == 200
            assert leaving.requests == []

    run_scenario(scenario)


@LOSSES
def test_a_domain_evacuated_after_the_store_lost_writes_gets_no_requests(hosts, lost):
    """Guards against requests to a domain that operators have evacuated seconds ago."""

    async def scenario():
        async with run_fleet(hosts) as fleet:
            await lose_writes(fleet, lost)
            fleet.store.put("op/evacuate/d1", {})
            await wait_for(
                lambda: all(h.directory.evacuated == {"d1"} for h in fleet.hosts), APPLY_TIMEOUT_S
            )

    run_scenario(scenario)


def test_changes_made_while_the_revisions_catch_up_are_in_force():
    """Guards against a host that watches on from its old revision once that is another write's.

    The host hears nothing from the store until the reused revisions have passed its own. Its watch
    is then answered, without the changes up to there.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("op/evacuate/d2", {})
            await wait_for(lambda: fleet.hosts[0].directory.evacuated)
            fleet.store.status = 503
            await asyncio.sleep(1.2)
            fleet.store.restore(copy)
            publish_route(fleet, "new")
            fleet.store.put("op/evacuate/d2", {})
            fleet.store.put("op/evacuate/unknown", {})
            fleet.store.status = 200
            await wait_for_version(fleet, fleet.hosts)

    run_scenario(scenario)


def test_an_endpoint_that_the_copy_lacks_is_gone_after_the_grace_period():
    """Guards against requests to an endpoint that is gone, since its removal is never read."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            copy = fleet.store.copy()
            late = await fleet.add_endpoint("desk-late", "desk")
            await wait_for(lambda: "desk-late" in fleet.hosts[0].directory.endpoints)
            await restore(fleet, copy, 0.2)
            await wait_for(lambda: is_leaving(fleet.hosts[0], "desk-late"), APPLY_TIMEOUT_S)
            for number in range(6):
                assert (await fleet.call(f"/safe/{number}")).status == 200
            assert late.requests == []

    run_scenario(scenario)


def test_a_host_that_cannot_reach_the_store_follows_those_that_can():
    """Guards against old numbers, which are higher, that win over those that others read."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            link = Link(fleet.store.address).start()
            try:
                cut_off = await fleet.add_host(store=f"127.0.0.1:{link.port}")
                await wait_for(lambda: cut_off.members.own.ready)
                copy = fleet.store.copy()
                publish_route(fleet, "lost")
                await wait_for_version(fleet, fleet.hosts)
                link.stop()
                await restore(fleet, copy, 0.2)
                publish_route(fleet, "new")
                await wait_for_version(fleet, fleet.hosts)
                assert (await fleet.call("/new/a", cut_off)).status == 200
                assert len({h.catalogue.table.digest for h in fleet.hosts}) == 1
            finally:
                link.stop()

    run_scenario(scenario)


def test_a_host_that_starts_after_the_loss_follows_the_store():
    """Guards against a host that takes the old numbers from another, which doesn't know yet."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            link = Link(fleet.store.address).start()
            try:
                await fleet.add_host(store=f"127.0.0.1:{link.port}")
                copy = fleet.store.copy()
                fleet.store.put("op/evacuate/d2", {})
                await wait_for(lambda: all(h.directory.evacuated for h in fleet.hosts))
                link.stop()
                await restore(fleet, copy, 0.0)
                started = await fleet.add_host()
                publish_route(fleet, "new")
                await wait_for_version(fleet, [*fleet.hosts, started])
            finally:
                link.stop()

    run_scenario(scenario)


def test_configuration_and_draining_endpoint_that_the_copy_lacks_stay_in_force():
    """Guards against a store that takes back what was in force, before it is written again."""

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            copy = fleet.store.copy()
            publish_route(fleet, "new")
            leaving = fleet.endpoints["desk-0"]
            fleet.store.put("servers/desk-0", leaving.make_entry(state="draining"))
            await wait_for_version(fleet, fleet.hosts)
            await wait_for(lambda: all(is_leaving(h, "desk-0") for h in fleet.hosts))
            await restore(fleet, copy, 0.2)
            await wait_for_epoch(fleet)
            for number in range(6):
                for host in fleet.hosts:
                    assert (await fleet.call(f"/new/{number}", host)).status == 200
            assert leaving.requests == []

    run_scenario(scenario)


def test_a_host_reads_everything_once_after_the_store_lost_writes():
    """Guards against a full read at each 410; each read is billed."""

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            await lose_writes(fleet, 5)
            fleet.store.calls.clear()
            await asyncio.sleep(4.0)
            whole = [call for call in fleet.store.calls if call.startswith("/kv-range?prefix=op")]
            assert len(whole) == 1

    run_scenario(scenario)


def test_several_losses_in_quick_succession_lose_no_later_change():
    """Guards against hosts that tell one loss from the state before, but not two."""

    async def scenario():
        async with run_fleet(hosts=3, endpoints=1) as fleet:
            copy = fleet.store.copy()
            for number in range(4):
                fleet.store.put(f"op/evacuate/unknown-{number}", {})
                await asyncio.sleep(0.3)
                await restore(fleet, copy, 0.1)
            publish_route(fleet, "new")
            await wait_for_version(fleet, fleet.hosts)

    run_scenario(scenario)


def test_an_evacuation_that_the_copy_lacks_stays_in_force():
    """Guards against requests to an evacuated domain until operators have evacuated it again."""

    async def scenario():
        async with run_fleet(hosts=2, endpoints=1) as fleet:
            copy = fleet.store.copy()
            fleet.store.put("op/evacuate/d1", {})
            await wait_for(lambda: all(h.directory.evacuated for h in fleet.hosts))
            await restore(fleet, copy, 0.2)
            await wait_for_epoch(fleet)
            for _ in range(20):
                assert all(h.directory.evacuated == {"d1"} for h in fleet.hosts)
                await asyncio.sleep(0.1)
            fleet.store.put("op/evacuate/d1", {})
            await wait_for(lambda: not any(h.directory.lost_evacuations for h in fleet.hosts))
            fleet.store.delete("op/evacuate/d1")
            await wait_for(lambda: not any(h.directory.evacuated for h in fleet.hosts))

    run_scenario(scenario)


def test_an_endpoint_that_was_gone_and_stands_in_the_copy_gets_no_requests():
    """Guards against requests to an endpoint that is gone, whose entry the copy brings back."""

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            copy = fleet.store.copy()
            fleet.store.delete("servers/desk-0")
            await wait_for(lambda: not any("desk-0" in h.directory.endpoints for h in fleet.hosts))
            await restore(fleet, copy, 0.2)
            await wait_for_epoch(fleet)
            for number in range(10):
                for host in fleet.hosts:
                    assert (await fleet.call(f"/safe/{number}", host)).status == 200
            assert fleet.endpoints["desk-0"].requests == []

    run_scenario(scenario)


@pytest.mark.parametrize("age_s", [0.0, RUNNING_S])
def test_a_host_that_starts_after_the_loss_serves_the_configuration_of_the_others(age_s):
    """Guards against callers told 404 by a host that knows only the configuration in the copy."""

    async def scenario():
        async with run_fleet(hosts=2, endpoints=1) as fleet:
            copy = fleet.store.copy()
            publish_route(fleet, "new")
            await wait_for_version(fleet, fleet.hosts)
            await restore(fleet, copy, 0.2)
            await wait_for_epoch(fleet)
            started = await fleet.add_host(age_s=age_s)
            await wait_for(lambda: started.directory.configuration is not None)
            await wait_for_version(fleet, [started])
            assert (await fleet.call("/new/a", started)).status == 200
            publish_route(fleet, "next")
            await wait_for_version(fleet, fleet.hosts)

    run_scenario(scenario)
