"""State of endpoints, hosts and the configuration as known to a host; no network."""

from __future__ import annotations

from cloverway.core.deployment import (
    CallKind,
    Configuration,
    ConfigurationPublished,
    EndpointEntry,
    EndpointPublished,
    EvacuationPublished,
    Route,
    RouteTable,
    Topology,
    WeightedService,
)
from cloverway.core.endpoints import LOST_EVACUATION_GRACE_S, Directory
from cloverway.core.lookup import choose_hosts_for_caller
from cloverway.core.members import (
    ALIVE_TIMEOUT_S,
    FORGET_AFTER_S,
    LEAVING_NAMED_S,
    MAX_REMOTE_ALIVE_TIMEOUT_S,
    REMOTE_ALIVE_TIMEOUT_S,
    Member,
    Members,
)

TOPOLOGY = Topology("d1", "north", {"d1": "north", "d2": "south"})


def make_directory(*entries):
    directory = Directory(TOPOLOGY)
    directory.apply([EndpointPublished(entry.id, entry) for entry in entries], 0.0)
    return directory


def make_entry(name="e1", domain="d1", **fields):
    return EndpointEntry(name, "desk", "10.0.0.1:80", domain, 6, **fields)


def list_usable_ids(directory, now):
    return [endpoint.entry.id for endpoint in directory.list_usable("desk", now)]


def make_route(host="shop", prefix="/a/", homes=()):
    share = (WeightedService("desk", 1.0),)
    kind = CallKind.IDEMPOTENT
    return Route("r", host, prefix, kind, share, 2.0, 0.5, home_regions=frozenset(homes))


def publish(version, *routes):
    return ConfigurationPublished(Configuration(version, routes, {}))


def test_an_older_configuration_never_replaces_a_newer_one():
    """The store serves a read from a replica that lags behind the version in force.

    Callers would get 404 for a route that they have already used.
    """
    directory = make_directory()
    directory.apply([publish(7, make_route())], 0.0)
    directory.apply([publish(4)], 1.0)
    assert directory.configuration.version == 7
    assert directory.routes.find("shop", "/a/b") is not None


def test_endpoints_are_used_for_a_grace_period_after_their_entries_expire():
    """The store was unavailable, all entries expired, and the first read returns none.

    Without the grace period the host would have no endpoints and refuse all requests for two
    seconds.
    """
    directory = make_directory(make_entry())
    directory.apply([EndpointPublished("e1", None)], 10.0)
    assert list_usable_ids(directory, 11.9) == ["e1"]
    assert list_usable_ids(directory, 12.1) == []
    directory.forget_missing(13.0)
    assert directory.endpoints == {}


def test_an_endpoint_whose_entry_returns_is_used_again():
    directory = make_directory(make_entry())
    directory.apply([EndpointPublished("e1", None)], 10.0)
    directory.apply([EndpointPublished("e1", make_entry())], 11.0)
    assert list_usable_ids(directory, 20.0) == ["e1"]


def test_a_late_entry_does_not_undo_draining():
    """An entry from before the draining arrives late, from a peer with an older revision."""
    directory = make_directory(make_entry(draining=True))
    directory.apply([EndpointPublished("e1", make_entry())], 1.0)
    assert list_usable_ids(directory, 1.0) == []


def test_an_endpoint_that_is_preempted_gets_no_new_requests():
    directory = make_directory(make_entry(removal_in_s=2.0))
    assert list_usable_ids(directory, 0.0) == []


def make_directory_with_gone_endpoint():
    directory = make_directory(make_entry())
    directory.apply([EndpointPublished("e1", None)], 10.0)
    directory.forget_missing(13.0)
    return directory


def test_an_endpoint_that_was_gone_and_is_restored_by_a_copy_gets_no_requests_at_first():
    """Guards against requests to an endpoint that is gone, and against one that stays unused."""
    directory = make_directory_with_gone_endpoint()
    directory.apply([EndpointPublished("e1", make_entry())], 20.0, follows_loss=True)
    assert list_usable_ids(directory, 23.9) == []
    assert list_usable_ids(directory, 24.1) == ["e1"]


def test_an_endpoint_that_was_gone_is_used_at_once_when_it_writes_its_entry():
    directory = make_directory_with_gone_endpoint()
    directory.apply([EndpointPublished("e1", make_entry())], 20.0, follows_loss=True)
    directory.apply([EndpointPublished("e1", make_entry())], 21.0)
    assert list_usable_ids(directory, 21.0) == ["e1"]


def test_endpoints_that_a_copy_still_has_are_used_without_a_pause():
    """Guards against a region that refuses requests each time that the store loses writes."""
    directory = make_directory(make_entry(), make_entry("e2"))
    directory.apply([EndpointPublished("e1", None)], 10.0)
    directory.apply(
        [EndpointPublished(name, make_entry(name)) for name in ("e1", "e2")],
        11.0,
        follows_loss=True,
    )
    assert list_usable_ids(directory, 11.0) == ["e1", "e2"]


def test_an_evacuation_that_the_store_has_lost_stays_in_force_for_a_grace_period():
    """Guards against requests to a domain out of service, and against one that stays unused."""
    directory = make_directory(make_entry())
    directory.apply([EvacuationPublished("d1", True)], 1.0)
    directory.apply([EvacuationPublished("d1", False)], 2.0, follows_loss=True)
    assert directory.take_back_lost(2.0 + LOST_EVACUATION_GRACE_S - 0.1) == []
    assert list_usable_ids(directory, 6.0) == []
    changes = directory.take_back_lost(2.0 + LOST_EVACUATION_GRACE_S)
    assert [change.what for change in changes] == ["taken_back"]
    assert list_usable_ids(directory, 8.0) == ["e1"]


def test_an_evacuation_that_is_written_again_ends_when_operators_end_it():
    directory = make_directory(make_entry())
    directory.apply([EvacuationPublished("d1", True)], 1.0)
    directory.apply([EvacuationPublished("d1", False)], 2.0, follows_loss=True)
    directory.apply([EvacuationPublished("d1", True)], 3.0)
    assert directory.take_back_lost(30.0) == []
    directory.apply([EvacuationPublished("d1", False)], 30.0)
    assert list_usable_ids(directory, 30.0) == ["e1"]


def test_an_evacuated_domain_gets_no_requests_and_is_cold_afterwards():
    directory = make_directory(make_entry())
    directory.apply([EvacuationPublished("d1", True)], 1.0)
    assert list_usable_ids(directory, 1.0) == []
    directory.apply([EvacuationPublished("d1", False)], 9.0)
    (endpoint,) = directory.list_usable("desk", 9.0)
    assert endpoint.is_cold(9.5)
    assert not endpoint.is_cold(12.0)


def test_the_longest_prefix_wins_within_a_host():
    table = RouteTable([make_route(), make_route(prefix="/a/b/"), make_route("other", "/")])
    assert table.find("shop", "/a/b/c").prefix == "/a/b/"
    assert table.find("shop", "/a/x").prefix == "/a/"
    assert table.find("shop", "/b") is None
    assert table.find("other", "/b").prefix == "/"
    assert table.find("nobody", "/a/") is None


# Hosts


def make_member(name, domain="d1", **fields):
    region = TOPOLOGY.region_of(domain)
    fields = {"ready": True, "incarnation": 1} | fields
    return Member(
        name,
        domain=domain,
        region=region,
        caller_address=f"{name}:80",
        forwarding_address="",
        **fields,
    )


def make_members(*members, own="own"):
    known = Members(make_member(own))
    for member in members:
        known.apply_state(member, 0.0, True, 0.0)
    return known


def choose(members, domain="d1", now=0.0, homes=None):
    return choose_hosts_for_caller(members, domain, TOPOLOGY.region_of(domain), homes or {}, now)


def test_a_silent_host_is_not_listed_to_callers():
    members = make_members(make_member("peer"))
    assert choose(members) == ["own:80", "peer:80"]
    assert choose(members, now=ALIVE_TIMEOUT_S + 0.1) == ["own:80"]


def test_indirect_reports_do_not_revive_a_host_that_left():
    members = make_members(make_member("peer", ready=False, leaving=True))
    members.apply_state(make_member("peer"), 0.0, False, 0.5)
    assert choose(members, now=0.5) == ["own:80"]


def test_a_restarted_host_at_the_same_address_is_listed():
    members = make_members(make_member("peer", ready=False, leaving=True))
    members.apply_state(make_member("peer", incarnation=2), 0.0, True, 1.0)
    assert choose(members, now=1.0) == ["own:80", "peer:80"]
    members.apply_state(make_member("peer", leaving=True), 0.0, True, 1.1)
    assert choose(members, now=1.1) == ["own:80", "peer:80"]


def test_a_leaving_host_is_listed_for_a_while_if_its_region_has_no_other():
    """The hosts of a region restart one after the other, each waiting for its long streams.

    Callers were given hosts of other regions, and requests bound to the region went there.
    """
    members = make_members(make_member("far", "d2"))
    members.begin_leaving(10.0)
    members.apply_state(make_member("far", "d2"), 0.0, True, 10.0)
    assert choose(members, now=10.0 + LEAVING_NAMED_S - 0.1) == ["own:80"]
    members.apply_state(make_member("far", "d2"), 0.0, True, 12.0)
    assert choose(members, now=10.0 + LEAVING_NAMED_S + 0.1) == ["far:80"]


def test_callers_without_a_host_in_their_region_get_hosts_of_the_home_regions():
    """Two routes of one host name are bound to home regions; they share one of them.

    The set of regions that all routes allow came out empty, and hosts of every region were listed.
    """
    table = RouteTable(
        [make_route(homes=("north", "south")), make_route(prefix="/b/", homes=("north", "east"))]
    )
    homes = table.count_home_regions("shop")
    members = make_members(make_member("far", "d2"))
    assert choose_hosts_for_caller(members, "d9", "west", homes, 0.0) == ["own:80"]


def test_a_host_that_knows_no_others_lists_itself():
    members = Members(make_member("own", ready=False))
    assert choose(members, "d2") == ["own:80"]


def test_hosts_without_heartbeats_are_removed():
    members = make_members(make_member("peer"))
    assert members.forget(FORGET_AFTER_S + 1) == ["peer"]
    assert members.count_hosts() == 1
    assert (
        members.apply_state(make_member("peer"), FORGET_AFTER_S + 1, False, FORGET_AFTER_S + 2)
        is None
    )


def test_remote_hosts_count_as_alive_for_longer_in_a_large_fleet():
    """Each of 48 hosts in other regions is heard of through others, every few seconds.

    With the timeout of a small fleet, four of them were treated as dead and alive again each
    second. A host that is silent beyond the maximum is dead in a large fleet too.
    """
    few = make_members(*(make_member(f"far-{n}", "d2") for n in range(4)))
    many = make_members(*(make_member(f"far-{n}", "d2") for n in range(48)))
    assert few.list_alive(REMOTE_ALIVE_TIMEOUT_S + 1) == []
    assert len(many.list_alive(REMOTE_ALIVE_TIMEOUT_S + 1)) == 48
    assert many.list_alive(MAX_REMOTE_ALIVE_TIMEOUT_S + 0.1) == []
