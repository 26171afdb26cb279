from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor

from cloverway.tests.standins.clients import Caller
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import Topology
from cloverway.tests.standins.waiting import wait_until

STREAMS = 6
TOKENS = 60
TOPOLOGY = Topology(regions=("pl",), engine_options=("--token-s", "0.02"))
HOSTS = ("pl-a-host-1", "pl-a-host-2")


def replace_under_load(fleet: Fleet, leaving: str, staying: str) -> None:
    """Stop a host while it relays streams, look at what its callers see, and start it again."""
    caller = Caller(fleet.url(leaving))
    pieces: list[list[bytes]] = [[] for _ in range(STREAMS)]
    with ThreadPoolExecutor(STREAMS) as threads:
        calls = [
            threads.submit(caller.chat, f"c{n}", tokens=TOKENS, stream=True, pieces=pieces[n])
            for n in range(STREAMS)
        ]
        wait_until(lambda: all(pieces), what="all streams to have begun")
        fleet.terminate(leaving)
        wait_until(
            lambda: leaving
            not in [host["name"] for host in Caller(fleet.url(staying)).hosts()["hosts"]],
            what="the other host to stop naming it",
        )
        refused = Caller(fleet.url(leaving)).chat("late")
        assert (refused.kind, refused.ran) == ("leaving", "no")
        assert float(refused.headers["Retry-After"]) > 0
        assert all(call.result().whole for call in calls)
    assert fleet.processes[leaving].wait() == 0
    fleet.restart(leaving)


def test_every_host_is_replaced_under_load_and_no_stream_is_cut() -> None:
    """Each host of a failure domain is stopped in turn while it relays streams.

    Its callers get every token. Who still asks it is told to go elsewhere, and that nothing ran;
    the other host no longer names it. A daemon that closed its listener or its sockets at the
    signal would cut the streams; one that ended before others knew would refuse connections.
    """
    with Fleet(TOPOLOGY) as fleet:
        replace_under_load(fleet, *HOSTS)
        replace_under_load(fleet, *reversed(HOSTS))
        assert all(Caller(fleet.url(host)).chat("after").whole for host in HOSTS)
