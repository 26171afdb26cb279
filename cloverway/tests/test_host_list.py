from __future__ import annotations

from cloverway.config.published import Published
from cloverway.entry.host_list import MAX_HOSTS, MaxAges, list_hosts
from cloverway.membership.view import HostState, Summary, View
from cloverway.tests.caller_harness import DOCUMENTS

NOW = 100.0
MAX_AGES = MaxAges(2.0)
DOMAINS = {"pl-1": "port-louis", "pl-2": "port-louis", "cu-1": "curepipe"}


def make_host(number, domain):
    ports = {
        name: f"127.0.0.1:{7000 + 3 * number + n}"
        for n, name in enumerate(("callers", "admin", "peers"))
    }
    return {"domain": domain, **ports}


def make_view(names=("pl-1-a", "pl-1-b", "pl-1-c", "pl-2-a", "cu-1-a"), **changes):
    documents = {
        **DOCUMENTS,
        "domains": {name: {"region": region} for name, region in DOMAINS.items()},
        "hosts": {name: make_host(n, name[:4]) for n, name in enumerate(names)},
    }
    states = {
        name: HostState(name, name[:4], heard_at=NOW - 1) for name in names if name != "pl-1-a"
    }
    states.update({name: states[name]._replace(**fields) for name, fields in changes.items()})
    published = Published.from_documents(documents)
    return View("pl-1-a", "i", "pl-1", "port-louis", published=published, hosts=states)


def list_names(view, rotation=0, overloaded=False):
    return [host["name"] for host in list_hosts(view, NOW, MAX_AGES, rotation, overloaded)["hosts"]]


def test_own_domain_first_then_own_region():
    assert list_names(make_view()) == ["pl-1-a", "pl-1-b", "pl-1-c", "pl-2-a", "cu-1-a"]


def test_callers_are_spread_within_a_rank_only():
    firsts = {list_names(make_view(), rotation)[0] for rotation in range(3)}
    assert firsts == {"pl-1-a", "pl-1-b", "pl-1-c"}
    assert all(
        list_names(make_view(), rotation)[3:] == ["pl-2-a", "cu-1-a"] for rotation in range(7)
    )


def test_leaving_overloaded_and_silent_hosts_are_omitted():
    """A call to such a host would be rejected, or wait until it times out."""
    view = make_view(
        **{
            "pl-1-b": {"leaving": True},
            "pl-1-c": {"overloaded": True},
            "pl-2-a": {"heard_at": NOW - 3},
        }
    )
    assert list_names(view) == ["pl-1-a", "cu-1-a"]
    assert list_names(view._replace(leaving=True)) == ["cu-1-a"]
    assert list_names(view, overloaded=True) == ["cu-1-a"]
    assert list_names(view._replace(published=None)) == []


def test_hosts_of_other_domains_are_listed_while_summaries_of_their_domain_arrive():
    """Hosts of other domains are listed without heartbeats; a partitioned domain is omitted."""
    never = {"heard_at": float("-inf")}
    view = make_view(**{"pl-1-b": never, "pl-2-a": never, "cu-1-a": never})
    assert list_names(view) == ["pl-1-a", "pl-1-c"]
    received = {
        ("cu-1", "m"): Summary("cu-1", "m", at=NOW - 1),
        ("pl-2", "m"): Summary("pl-2", "m", at=0),
    }
    assert list_names(view._replace(summaries=received)) == ["pl-1-a", "pl-1-c", "cu-1-a"]


def test_the_list_of_a_large_fleet_is_bounded():
    view = make_view(names=("pl-1-a", *(f"cu-1-{number}" for number in range(100))))
    assert len(list_names(view)) == MAX_HOSTS
    assert list_names(view)[0] == "pl-1-a"
