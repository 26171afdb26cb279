"""A host whose process does not run for a moment, with real sockets.

A callback that sleeps stops the event loop, as a stopped process or a suspended machine does: the
kernel goes on accepting connections and receiving bytes, and all timers are due at the wake-up.
"""

from __future__ import annotations

import asyncio
import time

from cloverway.core.patience import FIRST_BYTE_TIMEOUT_OBJECTIVES
from cloverway.serving.http.server import CallerLimits
from cloverway.serving.requests.attempt import CONNECT_TIMEOUT_S
from cloverway.tests.fleet.deployment import count_runs, run_fleet, run_scenario

OBJECTIVE_S = 0.5
"""Objective of the routes of the test fleet."""


def test_a_connection_opened_while_the_host_was_suspended_is_used():
    """Guards against a refusal of a host that takes its own suspension for a silent endpoint.

    The only endpoint accepts the connection while the host does not run. If that time counted, the
    host would give up the connection and refuse the request for lack of another endpoint.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            loop = asyncio.get_running_loop()
            fleet.hosts[0].context.pool._on_connect = lambda address: loop.call_soon(
                time.sleep, CONNECT_TIMEOUT_S + 0.1
            )
            reply = await fleet.call("/safe/a")
            assert (reply.status, reply.body) == (200, b"ran at desk-0")

    run_scenario(scenario)


def test_an_answer_that_arrived_while_the_host_was_suspended_is_relayed():
    """Guards against running a request twice because the host was suspended.

    The endpoint answers while the host does not run. If that time counted, the host would drop the
    answer and have another endpoint do the work again.
    """

    async def scenario():
        async with run_fleet(endpoints=2) as fleet:
            for endpoint in fleet.endpoints.values():

                async def answer_and_suspend(exchange, endpoint=endpoint):
                    await endpoint.answer_ok(exchange)
                    time.sleep(FIRST_BYTE_TIMEOUT_OBJECTIVES * OBJECTIVE_S + 0.1)

                endpoint.answer = answer_and_suspend
            reply = await fleet.call("/safe/a")
            assert reply.status == 200
            assert count_runs(fleet, "desk") == 1

    run_scenario(scenario)


def test_a_request_that_arrived_while_the_host_was_suspended_is_answered():
    """Guards against closing an idle connection that a caller has just sent a request on.

    The idle timeout of the connection passes while the host does not run. The request lies in the
    kernel's buffer; the caller would see its connection reset.
    """

    async def scenario():
        async with run_fleet(endpoints=1) as fleet:
            host = fleet.hosts[0]
            host._get_limits = lambda: CallerLimits(idle_s=0.3)
            host.caller_server._options = host.caller_server._options._replace(
                get_limits=host._get_limits
            )
            connection = await fleet.pool.open_new(host.settings.listen.callers, 1.0)
            await asyncio.sleep(0.1)
            connection.write(b"POST /safe/a HTTP/1.1\r\nHost: shop.example\r\n")
            connection.write(b"X-Cloverway-Request-Id: a\r\nContent-Length: 0\r\n\r\n")
            time.sleep(0.4)
            assert (await connection.receive()).startswith(b"HTTP/1.1 200")

    run_scenario(scenario)
