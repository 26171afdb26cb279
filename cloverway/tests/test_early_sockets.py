"""Connections made while a host is still loading; real sockets on loopback."""

from __future__ import annotations

import asyncio
import socket

import pytest

from cloverway.serving.early_sockets import EarlySockets, open_caller_socket
from cloverway.serving.http.server import Server, ServerOptions
from cloverway.tests.fleet.standins import CallerLimits, take_ports

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def write_settings(path, callers):
    path.write_text(f'[listen]\ncallers = "{callers}"\n')
    return str(path)


def test_a_connection_made_before_the_host_is_loaded_is_served(tmp_path):
    """All hosts restart while callers keep connecting.

    Loading a host takes 0.4 s. A caller whose connection is refused meanwhile tries the next host,
    which isn't running either, and has no attempt left. It has to wait in the backlog instead.
    """
    address = f"127.0.0.1:{take_ports(1)[0]}"
    early_socket = open_caller_socket(write_settings(tmp_path / "settings", address))

    async def scenario():
        caller = socket.create_connection(early_socket.getsockname(), 1.0)
        caller.sendall(REQUEST)
        await asyncio.sleep(0.05)

        async def answer(exchange):
            await exchange.answer(200, [], b"served")

        server = Server(answer, ServerOptions(CallerLimits, lambda: False, lambda *_: b""))
        await server.start(address, early_socket)
        reader, _ = await asyncio.open_connection(sock=caller)
        async with asyncio.timeout(2.0):
            assert await reader.readline() == b"HTTP/1.1 200 OK\r\n"

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "text",
    ["", "[listen]", "listen = 1", '[listen]\ncallers = "nowhere"', '[listen]\ncallers = "a:b"'],
)
def test_errors_in_settings_are_left_to_the_host_to_report(tmp_path, text):
    path = tmp_path / "settings"
    path.write_text(text)
    assert EarlySockets.from_settings(str(path)) == EarlySockets(None, None)
    assert EarlySockets.from_settings(str(tmp_path / "absent")) == EarlySockets(None, None)


def test_the_host_listens_on_a_changed_address(tmp_path):
    """The settings change after the early read; the address that the host reads applies."""
    first, second = (f"127.0.0.1:{port}" for port in take_ports(2))
    early_socket = open_caller_socket(write_settings(tmp_path / "settings", first))

    async def scenario():
        server = Server(None, ServerOptions(CallerLimits, lambda: False, lambda *_: b""))
        await server.start(second, early_socket)
        (bound,) = server._server.sockets
        assert bound.getsockname()[1] == int(second.rpartition(":")[2])

    asyncio.run(scenario())
    early_socket.close()
