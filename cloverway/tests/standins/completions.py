"""The JSON that a stand-in engine answers with; `form` is "chat" or "text"."""

from __future__ import annotations

import json
from typing import Any

from cloverway.tests.standins.batching import Run

DONE = b"data: [DONE]\n\n"


def make_completion(run: Run, form: str) -> bytes:
    """Give a whole answer."""
    text = "".join(run.tokens(0, run.total))
    content = {"message": {"role": "assistant", "content": text}} if form == "chat" else {}
    content = content or {"text": text}
    choice: dict[str, Any] = {"index": 0, "finish_reason": "length", **content}
    usage = {"prompt_tokens": len(run.words), "completion_tokens": run.total}
    answer = {"id": run.id, "user": run.user, "choices": [choice], "usage": usage}
    return json.dumps(answer).encode()


def make_event(run: Run, token: str, form: str) -> bytes:
    """Give the event of one token."""
    content = json.dumps(token)
    part = f'"delta":{{"content":{content}}}' if form == "chat" else f'"text":{content}'
    choice = f'{{"index":0,{part},"finish_reason":null}}'
    return f'data: {{"id":"{run.id}","choices":[{choice}]}}\n\n'.encode()


def make_last_event(run: Run) -> bytes:
    """Give the event that tells why the answer ended."""
    last = {"id": run.id, "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]}
    return f"data: {json.dumps(last)}\n\n".encode()
