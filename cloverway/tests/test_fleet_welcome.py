"""What a host that has just started knows before it serves callers, over real hosts and sockets."""

from __future__ import annotations

import asyncio

from cloverway.core.calls import compute_digest
from cloverway.core.quarantine import Crash
from cloverway.core.statements import Statement
from cloverway.serving.clock import read_clock
from cloverway.serving.context import PEER_SYNC_WAIT_S
from cloverway.serving.early_sockets import open_control_socket
from cloverway.serving.hosts.peerwire import CODEC, CrashReport, Heartbeat
from cloverway.tests.fleet.deployment import play, run_fleet, wait_for
from cloverway.tests.fleet.standins import take_ports

DEADLY = 7
NEW_S = 0.3
"""Time within which a host that has started must know what its siblings know."""


async def restart(fleet, host):
    """End a host and start it again at once, at its addresses, as an operator's roll does."""
    listen = host.settings.listen
    await fleet.stop(host)
    addresses = (listen.callers, listen.readiness, listen.lookup, listen.control)
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    ports += [listen.inner_ports[0], listen.metrics_port]
    return await fleet.add_host(host.settings.domain, ports=ports)


async def teach(fleet):
    """Let all hosts know of a request that ended three endpoints, and of one that leaves."""
    now = read_clock()
    for host in fleet.hosts:
        for number in range(3):
            host.context.quarantine.note_crash(Crash(f"gone-{number}", (DEADLY,), now - 30.0))
        life = host.directory.endpoints["desk-0"].entry.life
        host.directory.note_statement(life, Statement(0.5, now, True))
    await asyncio.sleep(0.1)


def test_a_host_that_restarts_faster_than_it_is_missed_is_told_what_the_others_know():
    """Guards against a roll of restarts after which a known deadly request ends the next endpoint.

    The others never took it for gone, so none of them took it for a newcomer.
    """

    async def scenario():
        async with run_fleet(hosts=3) as fleet:
            await teach(fleet)
            for old in list(fleet.hosts):
                await wait_for(lambda: all(len(h.gossip._alive) == 2 for h in fleet.hosts))
                began_at = read_clock()
                new = await restart(fleet, old)
                await wait_for(lambda new=new: new.context.quarantine.count_held(read_clock()), 1)
                await wait_for(
                    lambda new=new: "desk-0" in new.directory.endpoints
                    and new.directory.endpoints["desk-0"].has_said_leaving,
                    1,
                )
                assert read_clock() - began_at < NEW_S

    play(scenario)


def delay_words(host, seconds):
    """Let what a host says to others arrive later, as from another region."""
    send = host.gossip._send
    loop = asyncio.get_running_loop()

    def send_late(address, data):
        loop.call_later(seconds, send, address, data)

    host.gossip._send = host.context.news.send = send_late


def test_a_host_serves_nobody_before_its_siblings_have_told_it_what_they_know():
    """Guards against a host that has just started and sends a deadly request on before the word.

    Its configuration is there within milliseconds; callers kept its address and come at once.
    """

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            await wait_for(lambda: all(len(h.gossip._alive) == 1 for h in fleet.hosts))
            digest = compute_digest(("POST", "shop.example", "/safe/a"), b"deadly")
            for host in fleet.hosts:
                for number in range(3):
                    crash = Crash(f"gone-{number}", (digest,), read_clock() - 30.0)
                    host.context.quarantine.note_crash(crash)
            old, sibling = fleet.hosts
            delay_words(sibling, 0.05)
            new = await restart(fleet, old)
            reply = await fleet.call("/safe/a", new, body=b"deadly")
            assert reply.status == 503
            assert not [e for e in fleet.endpoints.values() if e.requests]
            assert (await fleet.call("/safe/a", new, body=b"fine")).status == 200

    play(scenario)


def test_a_host_whose_siblings_say_nothing_serves_all_the_same():
    """Guards against a fleet that stands still after all of it was restarted or cut apart."""

    async def scenario():
        async with run_fleet(hosts=2) as fleet:
            await wait_for(lambda: all(len(h.gossip._alive) == 1 for h in fleet.hosts))
            old, sibling = fleet.hosts
            delay_words(sibling, 3600.0)
            new = await restart(fleet, old)
            began_at = read_clock()
            assert (await fleet.call("/safe/a", new)).status == 200
            assert read_clock() - began_at < PEER_SYNC_WAIT_S + 0.3
            await wait_for(lambda: new.members.own.ready, 1.0)

    play(scenario)


def test_a_host_that_is_still_loading_hears_what_the_others_know(tmp_path):
    """Guards against a host that waits for the others' word after it could serve already."""

    async def scenario():
        async with run_fleet(hosts=1) as fleet:
            (host,) = fleet.hosts
            await teach(fleet)
            settings = tmp_path / "settings"
            own = f"127.0.0.1:{take_ports(1)[0]}"
            seed = host.settings.listen.control
            settings.write_text(f'[listen]\ncontrol = "{own}"\n[peers]\nseeds = ["{seed}"]\n')
            early = open_control_socket(str(settings))
            await asyncio.sleep(0.1)
            heard = []
            while True:
                try:
                    heard.append(CODEC.decode(early.recv(65_536)))
                except BlockingIOError:
                    break
            assert isinstance(heard[-1], Heartbeat), "it comes last: all else is there by then"
            assert any(isinstance(message, CrashReport) for message in heard)
            early.close()

    play(scenario)
