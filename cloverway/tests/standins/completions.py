"""Completion responses of the stand-in engine; `form` is "chat" or "text"."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from cloverway.tests.standins.base import Connection
from cloverway.tests.standins.batching import Run
from cloverway.tests.standins.faults import Faults

DONE = b"data: [DONE]\n\n"


def make_completion(run: Run, form: str) -> bytes:
    """Return the body of a response that is not streamed."""
    text = "".join(run.tokens(0, run.total))
    content = {"message": {"role": "assistant", "content": text}} if form == "chat" else {}
    content = content or {"text": text}
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length", **content}
    usage = {"prompt_tokens": len(run.words), "completion_tokens": run.total}
    answer = {"id": run.id, "user": run.user, "choices": [choice], "usage": usage}
    return json.dumps(answer).encode()


def make_event(run: Run, token: str, form: str) -> bytes:
    """Return the stream event of one token."""
    content = json.dumps(token)
    part = f'"delta":{{"content":{content}}}' if form == "chat" else f'"text":{content}'
    choice = f'{{"index":0,{part},"finish_reason":null}}'
    return f'data: {{"id":"{run.id}","choices":[{choice}]}}\n\n'.encode()


def make_last_event(run: Run) -> bytes:
    """Return the event with the finish reason."""
    last = {"id": run.id, "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]}
    return f"data: {json.dumps(last)}\n\n".encode()


class Answer:
    """Sends the output of a run over a connection, with the selected faults."""

    def __init__(
        self, run: Run, form: str, connection: Connection, faults: Faults, *, live: Faults
    ) -> None:
        self._run = run
        self._form = form
        self._connection = connection
        self._faults = faults
        self._live = live

    async def send(self, *, stream: bool) -> None:
        """Send the output as a stream or in one response."""
        if self._faults.close_at_once:
            await self._wait_for_tokens(1)
            self._connection.cut()
        elif self._faults.silent:
            await self._connection.disconnected.wait()
        elif stream:
            await self.stream(0)
        else:
            await self._send_whole()

    async def _send_whole(self) -> None:
        await self._wait_for_tokens(self._run.total)
        await self._delay_first_byte()
        if self._faults.error or self._run.state in ("lost", "cancelled"):
            self._connection.send_json(self._faults.error or 500, {"error": {"type": "failed"}})
            return
        body = make_completion(self._run, self._form)
        await self._connection.send_faulty(self._faults, "application/json", body)

    async def stream(self, start: int) -> None:
        """Stream the tokens from number `start` on as they are generated, and the end."""
        await self._wait_for_tokens(start + 1)
        await self._delay_first_byte()
        if self._faults.error:
            self._connection.send_json(self._faults.error, {"error": {"type": "failed"}})
            return
        self._connection.start_chunked("text/event-stream")
        sent = start
        while sent < self._run.total:
            end = min(await self._wait_for_tokens(sent + 1), self._run.total)
            for number, token in enumerate(self._run.tokens(sent, end), sent):
                if await self._apply_midstream_fault(number):
                    return
                await self._connection.send_chunk(make_event(self._run, token, self._form))
            if end <= sent:
                self._connection.cut()
                return
            sent = end
        if await self._apply_midstream_fault(self._run.total):
            return
        await self._connection.send_chunk(make_last_event(self._run))
        await self._connection.send_chunk(DONE)
        self._connection.end_chunked()
        if self._faults.duplicate:
            self._connection.start_chunked("text/event-stream")
            await self._connection.send_chunk(make_event(self._run, "late ", self._form))
            self._connection.end_chunked()

    async def _delay_first_byte(self) -> None:
        await asyncio.sleep(self._faults.first_byte_s)
        if self._faults.hold:
            await self._live.wait_released(self._connection.disconnected)

    async def _apply_midstream_fault(self, sent: int) -> bool:
        if self._faults.hold_after == sent:
            await self._live.wait_released(self._connection.disconnected)
        if self._faults.stall_after == sent:
            await self._connection.disconnected.wait()
            return True
        if self._faults.cut_after == sent:
            self._connection.close()
            return True
        return False

    async def _wait_for_tokens(self, tokens: int) -> int:
        """Wait until the run has so many tokens or has ended; return how many it has.

        Raise ConnectionError if the client disconnects before that.
        """
        while (
            self._run.generated < min(tokens, self._run.total)
            and not self._run.ended
            and self._run.state != "interrupted"
        ):
            progress = asyncio.ensure_future(self._run.progress.wait())
            disconnected = asyncio.ensure_future(self._connection.disconnected.wait())
            await asyncio.wait((progress, disconnected), return_when=asyncio.FIRST_COMPLETED)
            progress.cancel()
            disconnected.cancel()
            if self._connection.disconnected.is_set():
                raise ConnectionError("client disconnected")
        return self._run.generated
