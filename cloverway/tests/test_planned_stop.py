from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from cloverway.tests.standins.clients import Caller
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import Topology
from cloverway.tests.standins.waiting import wait_until

STREAMS = 6
TOKENS = 60
HELD_S = 4.0
TOPOLOGY = Topology(regions=("pl",), engine_options=("--token-s", "0.02"))
HOSTS = ("pl-a-host-1", "pl-a-host-2")


def list_names(fleet: Fleet, host: str) -> list[str]:
    return [found["name"] for found in Caller(fleet.url(host)).list_hosts()["hosts"]]


def replace_under_load(fleet: Fleet, leaving: str, staying: str) -> None:
    """Stop a host while it relays streams, look at what its callers see, and start it again."""
    caller = Caller(fleet.url(leaving))
    chunks: list[list[bytes]] = [[] for _ in range(STREAMS)]
    with ThreadPoolExecutor(STREAMS) as threads:
        calls = [
            threads.submit(caller.chat, f"c{n}", tokens=TOKENS, stream=True, chunks=chunks[n])
            for n in range(STREAMS)
        ]
        wait_until(lambda: all(chunks), what="all streams to have begun")
        fleet.terminate(leaving)
        wait_until(
            lambda: leaving not in list_names(fleet, staying),
            what="the other host to stop naming it",
        )
        refused = Caller(fleet.url(leaving)).chat("late")
        assert (refused.kind, refused.ran) == ("leaving", "no")
        assert float(refused.headers["Retry-After"]) > 0
        assert not [call.result() for call in calls if not call.result().complete]
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
        assert all(Caller(fleet.url(host)).chat("after").complete for host in HOSTS)


def test_a_key_in_hand_can_be_used_after_its_host_was_told_to_leave() -> None:
    """A caller gets a key, its host is told to leave, and the caller sends the work elsewhere.

    Only the leaving host can say whether the key was used. Were it gone, the caller would be told
    `ran: unknown` of an allocation that nobody has begun, and could not allocate by this key.
    """
    with Fleet(TOPOLOGY) as fleet:
        leaving, staying = (Caller(fleet.url(host)) for host in HOSTS)
        key = leaving.request_key()
        fleet.terminate(HOSTS[0])
        use_at = time.monotonic() + HELD_S
        wait_until(lambda: time.monotonic() >= use_at, what="the caller to use its key")
        assert staying.call_service("two cartons", key=key).complete
        assert fleet.processes[HOSTS[0]].running
