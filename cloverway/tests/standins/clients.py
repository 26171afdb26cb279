"""A client for tests that requests keys, sends calls and verifies the answers."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

import urllib3

from cloverway.tests.standins.batching import expected_text
from cloverway.tests.standins.topology import MODEL, SERVICE, make_team_key

NO_ANSWER = 0
"""Status of a call without a response."""


class Result(NamedTuple):
    """The outcome of a call as its caller saw it."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}
    text: str = ""
    complete: bool = False
    """Whether the answer is complete and belongs to this call."""
    problem: dict[str, Any] = {}
    error: str = ""

    @property
    def kind(self) -> str:
        return str(self.problem.get("kind", ""))

    @property
    def ran(self) -> str:
        return str(self.problem.get("ran", ""))


class Caller:
    """A caller of one team that uses one host."""

    def __init__(self, url: str, team: str = "open", timeout_s: float = 15.0) -> None:
        self.url = url
        self.team = team
        self._http = urllib3.PoolManager(retries=False, timeout=timeout_s, maxsize=32)

    def list_hosts(self) -> dict[str, Any]:
        answer = self.request("GET", "/v1/hosts")
        assert answer.status == 200, answer
        return json.loads(answer.body)

    def request_key(self, profile: str = "allocate") -> str:
        """Request an idempotency key from the host."""
        answer = self.request("POST", "/v1/idempotency-keys", profile=profile, json={})
        assert answer.status in (200, 201), answer
        return str(json.loads(answer.body)["keys"][0])

    def chat(
        self,
        user: str,
        *,
        tokens: int = 8,
        stream: bool = False,
        profile: str = "chat",
        prompt: str = "what is short today?",
        **options: Any,
    ) -> Result:
        """Request a completion; `complete` is set if every expected token arrived."""
        body = {"model": MODEL, "user": user, "max_tokens": tokens, "stream": stream}
        body["messages"] = [{"role": "user", "content": prompt}]
        result = self.request("POST", "/v1/chat/completions", profile=profile, json=body, **options)
        if result.status != 200:
            return result
        text, ended = (read_events if stream else read_completion)(result.body)
        complete = ended and text == expected_text(prompt, user, tokens) and not result.error
        return result._replace(text=text, complete=complete)

    def call_service(
        self, body: str, *, profile: str = "allocate", path: str = "orders", **options: Any
    ) -> Result:
        """Call the plain service; `complete` is set if the answer echoes this body."""
        target = f"/v1/services/{SERVICE}/{path}"
        result = self.request("POST", target, profile=profile, body=body.encode(), **options)
        if result.status != 200 or result.error:
            return result
        return result._replace(complete=json.loads(result.body)["echo"] == body)

    def request(
        self,
        method: str,
        path: str,
        *,
        profile: str = "",
        key: str = "",
        deadline_ms: int | None = None,
        headers: dict[str, str] | None = None,
        chunks: list[bytes] | None = None,
        **options: Any,
    ) -> Result:
        """Send a call without retries; return a network failure as a result.

        The chunks of the response body are appended to `chunks` as they arrive.
        """
        sent = {"Authorization": f"Bearer {make_team_key(self.team)}"}
        sent |= {"Cloverway-Profile": profile} if profile else {}
        sent |= {"Idempotency-Key": key} if key else {}
        sent |= {"Cloverway-Deadline-Ms": str(deadline_ms)} if deadline_ms else {}
        sent |= headers or {}
        try:
            answer = self._http.request(
                method, self.url + path, headers=sent, preload_content=False, **options
            )
        except urllib3.exceptions.HTTPError as error:
            return Result(NO_ANSWER, error=repr(error))
        return _read(answer, [] if chunks is None else chunks)


def _read(answer: Any, chunks: list[bytes]) -> Result:
    error = ""
    try:
        chunks.extend(iter(lambda: answer.read1(4096), b""))
    except urllib3.exceptions.HTTPError as cut:
        error = repr(cut)
        answer.close()
    finally:
        answer.release_conn()
    body = b"".join(chunks)
    headers = dict(answer.headers)
    is_problem = answer.headers.get("Content-Type", "").startswith("application/problem+json")
    problem = json.loads(body) if is_problem and not error else {}
    return Result(answer.status, body, headers, problem=problem, error=error)


def read_events(body: bytes) -> tuple[str, bool]:
    """Return the text of a stream, and whether the stream was terminated."""
    lines = [line[6:] for line in body.decode().splitlines() if line.startswith("data: ")]
    ended = lines[-1:] == ["[DONE]"]
    events = [json.loads(line) for line in lines if line != "[DONE]"]
    choices = [choice for event in events for choice in event.get("choices", [])]
    return "".join(choice.get("delta", {}).get("content", "") for choice in choices), ended


def read_completion(body: bytes) -> tuple[str, bool]:
    """Return the text of a completion, and whether the response could be parsed."""
    try:
        return json.loads(body)["choices"][0]["message"]["content"], True
    except (ValueError, LookupError):
        return "", False
