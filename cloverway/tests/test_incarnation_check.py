"""Which query of an endpoint's state may prove that its answer ended there, without a network."""

from __future__ import annotations

import asyncio

from cloverway.core.quarantine import Quarantine, QuarantineSettings
from cloverway.serving.clock import read_clock
from cloverway.serving.requests.incarnations import IncarnationCheck, IncarnationStatus
from cloverway.tests.test_core_incarnations import make_directory, make_entry


class ScriptedCheck(IncarnationCheck):
    """A check whose queries end when the test says so."""

    def __init__(self):
        super().__init__(Quarantine(QuarantineSettings()), None, None, None, None)
        self.is_crashed = False
        self.answered = asyncio.Event()

    async def _query(self, endpoint, began_at):
        status = IncarnationStatus.GONE if self.is_crashed else IncarnationStatus.SAME
        await self.answered.wait()
        return status


def test_a_query_from_before_the_end_that_is_answered_with_it_proves_nothing():
    """Guards against streams of a crashed endpoint that look complete.

    Another request had asked for the endpoint's state before it crashed. The answer, and the end
    of the stream, are read in the same iteration of the event loop.
    """

    async def scenario():
        check = ScriptedCheck()
        endpoint = next(iter(make_directory(make_entry(1_000)).endpoints.values()))
        other = asyncio.create_task(check.confirm(endpoint, read_clock()))
        await asyncio.sleep(0)

        async def end_stream():
            await check.answered.wait()
            return await check.is_running(endpoint, read_clock())

        ending = asyncio.create_task(end_stream())
        await asyncio.sleep(0)
        check.is_crashed = True
        check.answered.set()
        assert not await ending
        assert not await other

    asyncio.run(scenario())
