from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from cloverway.tests.standins.clients import Caller
from cloverway.tests.standins.fleet import Fleet
from cloverway.tests.standins.topology import Topology
from cloverway.tests.standins.waiting import wait_until

STREAMS = 6
TOKENS = 60
KEY_USE_DELAY_S = 4.0
TOPOLOGY = Topology(regions=("pl",), engine_options=("--token-s", "0.02"))
HOSTS = ("pl-a-host-1", "pl-a-host-2")


def list_names(fleet: Fleet, host: str) -> list[str]:
    return [found["name"] for found in Caller(fleet.url(host)).list_hosts()["hosts"]]


def replace_under_load(fleet: Fleet, leaving: str, staying: str) -> None:
    """Stop a host while it relays streams, check the answers of its callers, and restart it."""
    caller = Caller(fleet.url(leaving))
    chunks: list[list[bytes]] = [[] for _ in range(STREAMS)]
    with ThreadPoolExecutor(STREAMS) as threads:
        calls = [
            threads.submit(caller.chat, f"c{n}", tokens=TOKENS, stream=True, chunks=chunks[n])
            for n in range(STREAMS)
        ]
        wait_until(lambda: all(chunks), what="the start of all streams")
        fleet.terminate(leaving)
        wait_until(
            lambda: leaving not in list_names(fleet, staying),
            what="removal of the host from the list of the other one",
        )
        refused = Caller(fleet.url(leaving)).chat("late")
        assert (refused.kind, refused.ran) == ("leaving", "no")
        assert float(refused.headers["Retry-After"]) > 0
        assert not [call.result() for call in calls if not call.result().complete]
    assert fleet.processes[leaving].wait() == 0
    fleet.restart(leaving)


def test_hosts_are_replaced_under_load_without_truncating_streams() -> None:
    """Each host of a failure domain is stopped in turn while it relays streams.

    Its callers get every token. New calls are refused as not run, and the other host no longer
    lists it. A daemon that closed its sockets at the signal would truncate the streams; one that
    exited before others had noticed would refuse connections.
    """
    with Fleet(TOPOLOGY) as fleet:
        replace_under_load(fleet, *HOSTS)
        replace_under_load(fleet, *reversed(HOSTS))
        assert all(Caller(fleet.url(host)).chat("after").complete for host in HOSTS)


def test_an_issued_key_can_be_used_while_its_host_leaves() -> None:
    """A caller gets a key, its host begins to leave, and the caller sends the request elsewhere.

    Only the leaving host knows whether the key was used. If it had exited, the caller would get
    `ran: unknown` for a request that never ran, and could not run it with this key.
    """
    with Fleet(TOPOLOGY) as fleet:
        leaving, staying = (Caller(fleet.url(host)) for host in HOSTS)
        key = leaving.request_key()
        fleet.terminate(HOSTS[0])
        key_use_at = time.monotonic() + KEY_USE_DELAY_S
        wait_until(
            lambda: time.monotonic() >= key_use_at, what="the time at which the caller uses its key"
        )
        assert staying.call_service("two cartons", key=key).complete
        assert fleet.processes[HOSTS[0]].running
