"""State transfer to a host that has just started, with real hosts and sockets."""

from __future__ import annotations

import asyncio

from cloverway.core.calls import compute_digest
from cloverway.core.quarantine import Crash
from cloverway.core.statements import Statement
from cloverway.serving.clock import read_clock
from cloverway.serving.context import PEER_SYNC_WAIT_S
from cloverway.serving.early_sockets import open_control_socket
from cloverway.serving.hosts.messages import CODEC, CrashReport, Heartbeat
from cloverway.tests.fleet.deployment import run_fleet, run_scenario, wait_for
from cloverway.tests.fleet.standins import take_ports

DEADLY = 7
SYNC_TIMEOUT_S = 0.3
"""Time within which a host that has started must know what the hosts of its region know."""


async def restart(fleet, host):
    """Stop a host and start it again at once with its addresses, as in a rolling restart."""
    listen = host.settings.listen
    await fleet.stop(host)
    addresses = (listen.callers, listen.readiness, listen.lookup, listen.control)
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    ports += [listen.inner_ports[0], listen.metrics_port]
    return await fleet.add_host(host.settings.domain, ports=ports)


async def record_crashes_and_leaving(fleet):
    """Make all hosts know of a request that crashed three endpoints, and of a leaving endpoint."""
    now = read_clock()
    for host in fleet.hosts:
        for number in range(3):
            host.context.quarantine.record_crash(Crash(f"gone-{number}", (DEADLY,), now - 30.0))
        life = host.directory.endpoints["desk-0"].entry.incarnation
        host.directory.record_statement(life, Statement(0.5, now, True))
    await asyncio.sleep(0.1)


def test_a_host_that_restarts_before_it_is_missed_receives_the_state_of_the_others():
    """Guards against a rolling restart after which a known deadly request crashes an endpoint.

    The others never missed the host, so none of them treated it as a joining host.
    """

    async def scenario():
        async with run_fleet(hosts=3) as fleet:
            await record_crashes_and_leaving(fleet)
            for old in list(fleet.hosts):
                await wait_for(lambda: all(len(h.gossip._alive_names) == 2 for h in fleet.hosts))
                began_at = read_clock()
                new = await restart(fleet, old)
                await wait_for(
                    lambda new=new: new.context.quarantine.count_blocked(read_clock()), 1
                )
                await wait_for(
                    lambda new=new: "desk-0" in new.directory.endpoints
                    and new.directory.endpoints["desk-0"].has_announced_leaving,
                    1,
                )
                assert read_clock() - began_at < SYNC_TIMEOUT_S

    run_scenario(scenario)


def delay_datagrams(host, seconds):
    """Delay all datagrams of a host, as if it were in another region."""
    send = host.gossip._send
    loop = asyncio.get_running_loop()

    def send_late(address, data):
        loop.call_later(seconds, send, address, data)

    host.gossip._send = host.context.broadcaster.send = send_late


def test_a_joining_host_serves_no_request_before_it_received_the_state_of_the_others():
    """Guards against a host that forwards a deadly request before it received the quarantine.

    Its configuration is there within milliseconds, and callers that kept its address reconnect at
    once.
    """

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            await wait_for(lambda: all(len(h.gossip._alive_names) == 1 for h in fleet.hosts))
            digest = compute_digest(("POST", "shop.example", "/safe/a"), b"deadly")
            for host in fleet.hosts:
                for number in range(3):
                    crash = Crash(f"gone-{number}", (digest,), read_clock() - 30.0)
                    host.context.quarantine.record_crash(crash)
            old, sibling = fleet.hosts
            delay_datagrams(sibling, 0.05)
            new = await restart(fleet, old)
            reply = await fleet.call("/safe/a", new, body=b"deadly")
            assert reply.status == 503
            assert not [e for e in fleet.endpoints.values() if e.requests]
            assert (await fleet.call("/safe/a", new, body=b"fine")).status == 200

    run_scenario(scenario)


def test_a_joining_host_serves_requests_even_if_the_others_send_no_state():
    """Guards against a fleet that serves nobody after all of it was restarted or partitioned."""

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            await wait_for(lambda: all(len(h.gossip._alive_names) == 1 for h in fleet.hosts))
            old, sibling = fleet.hosts
            delay_datagrams(sibling, 3600.0)
            new = await restart(fleet, old)
            began_at = read_clock()
            assert (await fleet.call("/safe/a", new)).status == 200
            assert read_clock() - began_at < PEER_SYNC_WAIT_S + 0.3
            await wait_for(lambda: new.members.own.ready, 1.0)

    run_scenario(scenario)


def test_a_host_that_is_still_loading_receives_the_state_of_the_others(tmp_path):
    """Guards against a host that is ready to serve and only then asks others for their state."""

    async def scenario():
        async with run_fleet(hosts=1) as fleet:
            (host,) = fleet.hosts
            await record_crashes_and_leaving(fleet)
            settings = tmp_path / "settings"
            own = f"127.0.0.1:{take_ports(1)[0]}"
            seed = host.settings.listen.control
            settings.write_text(f'[listen]\ncontrol = "{own}"\n[peers]\nseeds = ["{seed}"]\n')
            early = open_control_socket(str(settings))
            await asyncio.sleep(0.1)
            received = []
            while True:
                try:
                    received.append(CODEC.decode(early.recv(65_536)))
                except BlockingIOError:
                    break
            assert isinstance(
                received[-1], Heartbeat
            ), "the heartbeat is sent last, after all updates"
            assert any(isinstance(message, CrashReport) for message in received)
            early.close()

    run_scenario(scenario)
