"""Run the two example deployments in sequence and send calls through them.

Each deployment has three regions on this machine, a daemon for each host and a stand-in for each
endpoint. The answers are printed with the endpoints that gave them, and all processes are stopped
at the end. The exit code is 1 if an answer is not as expected.
"""

from __future__ import annotations

import json
import signal
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from cloverway.answers import Answer
from cloverway.client import Call, Client
from cloverway.errors import CallError, Kind, Ran
from cloverway.tests.fleet.demo import run_platform_call
from cloverway.tests.standins.deployment import Deployment

EXAMPLES = Path(__file__).parents[2] / "examples"
RETRY_TIMEOUT_S = 20.0
STOP_S = 15.0
MAX_SHOWN_CHARS = 160
TOKENS = 24
LONG_TOKENS = 300


class Step(NamedTuple):
    """A call and its expected outcome."""

    title: str
    team: str
    at: str
    """The region whose hosts the caller uses."""
    call: Call
    once: bool = False
    regions: tuple[str, ...] = ()
    """Regions in which it may run; empty if any region is allowed."""
    refusal: Kind | None = None


class Outcome(NamedTuple):
    """The outcome of a call."""

    text: str = ""
    region: str = ""
    endpoint: str = ""
    host: str = ""
    key: str = ""
    first_s: float = 0.0
    total_s: float = 0.0
    refusal: CallError | None = None


class Plan(NamedTuple):
    """The calls that are sent to a deployment."""

    name: str
    steps: tuple[Step, ...]
    once: Step
    """A call that must run at most once; it is repeated with the same key."""
    stop: Step
    """A stream whose host is stopped by SIGTERM while it runs."""


def chat(profile: str, question: str, user: str, tokens: int = TOKENS) -> Call:
    """Return a streaming chat call."""
    messages = [{"role": "user", "content": question}]
    return Call.for_chat(profile, messages, stream=True, user=user, max_tokens=tokens)


RIVIERE = Plan(
    "riviere",
    (
        Step(
            "A pharmacist in Curepipe looks up stock",
            "pharmacies-curepipe",
            "curepipe",
            Call.for_service("stock-lookup", "stock-desk", "/stock", {"item": "insulin"}),
            regions=("curepipe",),
        ),
        Step(
            "The dispatch office asks about a shortage",
            "dispatch",
            "port-louis",
            chat("stock-question", "Which insulin is short this morning?", "dispatch"),
        ),
        Step(
            "The hospital in Rodrigues asks through Port Louis; its data stays in Rodrigues",
            "hospital-rodrigues",
            "port-louis",
            chat("stock-question", "How much saline is left?", "hospital"),
            regions=("rodrigues",),
        ),
        Step(
            "A pharmacy asks for a profile that it may not use",
            "pharmacies-port-louis",
            "port-louis",
            chat("night-report", "Sum up the day.", "pharmacy"),
            refusal=Kind.FORBIDDEN,
        ),
    ),
    Step(
        "A pharmacist in Port Louis allocates two cartons, once",
        "pharmacies-port-louis",
        "port-louis",
        Call.for_service(
            "allocation", "stock-desk", "/allocations", {"item": "insulin", "cartons": 2}
        ),
        once=True,
        regions=("port-louis",),
    ),
    Step(
        "A host in Curepipe is told to leave while it streams a summary",
        "pharmacies-curepipe",
        "curepipe",
        chat("reorder-summary", "What must be reordered?", "curepipe", LONG_TOKENS),
        regions=("curepipe",),
    ),
)

CARONI = Plan(
    "caroni",
    (
        Step(
            "A clerk in San Fernando looks up a request",
            "branch-san-fernando",
            "san-fernando",
            Call.for_service("request-state", "member-portal", "/requests", {"member": 1041}),
            regions=("san-fernando",),
        ),
        Step(
            "A clerk in Port of Spain reads a dossier against the guidance",
            "branch-port-of-spain",
            "port-of-spain",
            chat("dossier", "Is every page of this dossier sealed? " * 40, "clerk"),
            regions=("port-of-spain",),
        ),
        Step(
            "A clerk of Scarborough is in San Fernando; the data stays in Scarborough",
            "branch-scarborough",
            "san-fernando",
            chat("document-check", "Is this certificate signed?", "clerk"),
            regions=("scarborough",),
        ),
        Step(
            "A notary asks for a filing, which is not for notaries",
            "notaries",
            "port-of-spain",
            Call.for_service("filing", "member-portal", "/filings", {"member": 7}),
            refusal=Kind.FORBIDDEN,
        ),
    ),
    Step(
        "A clerk in Scarborough files an apostille, once",
        "branch-scarborough",
        "scarborough",
        Call.for_service("filing", "member-portal", "/filings", {"member": 1041, "fee": 50}),
        once=True,
        regions=("scarborough",),
    ),
    Step(
        "A host in San Fernando is told to leave while it streams a cover note",
        "branch-san-fernando",
        "san-fernando",
        chat("cover-note", "Draft a cover note.", "clerk", LONG_TOKENS),
        regions=("san-fernando",),
    ),
)


def send(
    deployment: Deployment,
    step: Step,
    key: str = "",
    on_first_chunk: Callable[[Answer], Any] = lambda answer: None,
) -> Outcome:
    """Send the call of a step and read its answer to the end.

    `on_first_chunk` is called when the first chunk of the answer has arrived.
    """
    addresses = deployment.list_caller_addresses(step.at)
    client = Client(addresses, f"cw_example-only-{step.team}", patience_s=RETRY_TIMEOUT_S)
    started_at = time.monotonic()
    try:
        answer = client.call(step.call._replace(key=key), once=step.once)
        return _read(answer, step, started_at, on_first_chunk)
    except CallError as error:
        return Outcome(refusal=error, total_s=time.monotonic() - started_at)


def find_mismatches(step: Step, outcome: Outcome) -> Iterator[str]:
    """Yield the differences between a call's outcome and its expected outcome."""
    if step.refusal is not None:
        if outcome.refusal is None or outcome.refusal.kind is not step.refusal:
            yield f"expected the refusal {step.refusal}, got {describe(outcome)}"
        elif outcome.refusal.ran is not Ran.NO:
            yield f"expected the promise that it was not run, got ran: {outcome.refusal.ran}"
        return
    if outcome.refusal is not None:
        yield f"expected an answer, got {describe(outcome)}"
    elif not outcome.text:
        yield "expected an answer with text"
    if step.regions and outcome.refusal is None and outcome.region not in step.regions:
        yield f"expected it to run in {', '.join(step.regions)}, it ran in {outcome.region}"


def find_repeat_mismatches(
    deployment: Deployment, step: Step, first: Outcome, again: Outcome
) -> Iterator[str]:
    """Yield the mismatches of a call that was sent twice with the same key."""
    runs = deployment.count_runs(step.call.body)
    if runs != 1:
        yield f"expected one run at all services together, they counted {runs}"
    if again.text != first.text:
        yield f"expected the same answer for the repeat, got {describe(again)}"


def find_stop_mismatches(during: Outcome, after: Outcome, status: int | None) -> Iterator[str]:
    """Yield the mismatches of a stream whose host was stopped."""
    tokens = len(during.text.split())
    if tokens != LONG_TOKENS:
        yield f"expected {LONG_TOKENS} tokens from the host that left, got {tokens}"
    if status != 0:
        yield f"expected the host that left to end with status 0, got {status}"
    if after.host == during.host:
        yield "expected another host to answer after one has left"


def describe(outcome: Outcome) -> str:
    """Describe an outcome in one line."""
    if outcome.refusal is not None:
        error = outcome.refusal
        return f"{error.kind} (ran: {error.ran}): {error.detail}"
    text = " ".join(outcome.text.split())
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


def run_plan(plan: Plan, write_line: Callable[[str], Any]) -> list[str]:
    """Start a deployment, send its calls and stop it; return all mismatches."""
    started_at = time.monotonic()
    with Deployment(EXAMPLES / plan.name) as deployment:
        published = deployment.published
        write_line(
            f"\n{plan.name}: {len(published.regions)} regions, {len(published.hosts)} hosts and "
            f"{len(published.endpoints)} endpoints, up in {time.monotonic() - started_at:.1f} s"
        )
        if deployment.relocated:
            write_line(
                f"  {len(deployment.relocated)} addresses are taken; "
                "free ones are used in their place"
            )
        mismatches = [
            mismatch for step in plan.steps for mismatch in _run_step(deployment, step, write_line)
        ]
        mismatches += _run_once(deployment, plan.once, write_line)
        mismatches += _run_stop(deployment, plan.stop, write_line)
        statuses = deployment.stop()
    failed = {name: status for name, status in statuses.items() if status != 0}
    mismatches += [f"{name} ended with status {status}" for name, status in failed.items()]
    write_line(f"  Stopped: {len(statuses)} processes, {len(failed)} with a failure.")
    return mismatches


def main() -> int:
    """Run both deployments and the platform call; return the exit code."""
    started_at = time.monotonic()
    mismatches = [
        mismatch for plan in (RIVIERE, CARONI) for mismatch in run_plan(plan, _write_line)
    ]
    mismatches += run_platform_call(_write_line)
    for mismatch in mismatches:
        print(f"NOT AS EXPECTED: {mismatch}", file=sys.stderr)
    verdict = f"{len(mismatches)} faults" if mismatches else "all answers are as expected"
    _write_line(f"\n{verdict}; {time.monotonic() - started_at:.0f} s")
    return 1 if mismatches else 0


def _run_step(deployment: Deployment, step: Step, write_line: Callable[[str], Any]) -> list[str]:
    outcome = send(deployment, step)
    _show(step.title, outcome, write_line)
    return list(find_mismatches(step, outcome))


def _run_once(deployment: Deployment, step: Step, write_line: Callable[[str], Any]) -> list[str]:
    first = send(deployment, step)
    _show(step.title, first, write_line)
    again = send(deployment, step, first.key)
    _show("The same call again, with the same idempotency key", again, write_line)
    write_line(f"    the services counted {deployment.count_runs(step.call.body)} run of it")
    return [
        *find_mismatches(step, first),
        *find_mismatches(step, again),
        *find_repeat_mismatches(deployment, step, first, again),
    ]


def _run_stop(deployment: Deployment, step: Step, write_line: Callable[[str], Any]) -> list[str]:
    stopped: list[str] = []

    def stop_host(answer: Answer) -> None:
        stopped.append(answer.headers["cloverway-host"])
        deployment.processes[stopped[0]].send(signal.SIGTERM)

    during = send(deployment, step, on_first_chunk=stop_host)
    _show(step.title, during, write_line)
    status = deployment.processes[stopped[0]].wait(STOP_S) if stopped else None
    write_line(
        f"    its stream had {len(during.text.split())} tokens; it ended with status {status}"
    )
    after = send(deployment, step)
    _show("The same question again", after, write_line)
    return [
        *find_mismatches(step, during),
        *find_mismatches(step, after),
        *find_stop_mismatches(during, after, status),
    ]


def _read(
    answer: Answer, step: Step, started_at: float, on_first_chunk: Callable[[Answer], Any]
) -> Outcome:
    chunks: list[str] = []
    first_s = 0.0
    texts = answer.read_text() if answer.is_stream else iter([answer.read().decode()])
    for chunk in texts:
        if not chunks:
            first_s = time.monotonic() - started_at
            on_first_chunk(answer)
        chunks.append(chunk)
    return Outcome(
        _extract("".join(chunks), step.call),
        answer.headers.get("cloverway-region", ""),
        answer.headers.get("cloverway-endpoint", ""),
        answer.headers.get("cloverway-host", answer.host),
        answer.key,
        first_s,
        time.monotonic() - started_at,
    )


def _extract(text: str, call: Call) -> str:
    """Return the part of a stand-in's answer that is equal for each repeat."""
    if "/services/" not in call.path:
        return text
    answer = json.loads(text)
    return json.dumps({name: answer[name] for name in ("path", "echo", "run")})


def _show(title: str, outcome: Outcome, write_line: Callable[[str], Any]) -> None:
    write_line(f"  {title}\n    {describe(outcome)}")
    if outcome.refusal is None:
        write_line(
            f"    ran in {outcome.region} at {outcome.endpoint}, asked at {outcome.host}; "
            f"first piece after {outcome.first_s * 1000:.0f} ms, whole after "
            f"{outcome.total_s * 1000:.0f} ms"
        )


def _write_line(text: str) -> None:
    print(text, flush=True)


if __name__ == "__main__":
    sys.exit(main())
