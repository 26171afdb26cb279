"""Heartbeats, the messages of the gossip protocol, and their encoding.

Names of endpoints, hosts and models are sent as 32-bit hashes where both hosts know the name.
Each number is clamped to the range of its field, so that encoding never fails.
"""

from __future__ import annotations

import bisect
import zlib
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import thriftpy2
from thriftpy2.protocol import TCyBinaryProtocolFactory
from thriftpy2.utils import deserialize, serialize

from cloverway.errors import PeerError
from cloverway.thrift_check import check_struct

wire = thriftpy2.load(
    str(Path(__file__).with_name("heartbeat.thrift")), module_name="heartbeat_thrift"
)
_PROTOCOL = TCyBinaryProtocolFactory()

LEAVING = 1
OVERLOADED = 2
READY = 4

AGE_STEP_S = 0.01
STARTED_STEP_S = 0.1
MAX_I8 = 2**7 - 1
MAX_I16 = 2**15 - 1
MAX_I32 = 2**31 - 1
TAG_MASK = 2**32 - 1
COUNT_STEPS = (*range(32), *(round(32 * 2 ** (step / 8)) for step in range(96)))
"""The counts that a summary can carry; any other count is rounded down to one of them."""
LEAVING_LEVEL = -1
"""Level of a host that is leaving or overloaded, in a summary."""


class LoadRow(NamedTuple):
    """Load of one endpoint; the tag names the detail that the load belongs to."""

    endpoint: int
    tag: int
    age_s: float
    running: int
    waiting: int


class Detail(NamedTuple):
    """The part of an endpoint's state that changes rarely."""

    name: str
    incarnation: str
    ready: bool
    leaving: bool
    slots: int
    models: tuple[str, ...]
    started_age_s: float
    """Time since this incarnation was first seen ready."""
    age_s: float


class HostLevel(NamedTuple):
    """One host in the summary of its failure domain."""

    host: int
    incarnation: int
    level: int
    """Load in hundredths, or LEAVING_LEVEL."""


class TargetLevel(NamedTuple):
    """One model or service in the summary of a failure domain."""

    target: int
    ready: int
    free: int
    waiting: int


class DomainSummary(NamedTuple):
    """What a failure domain sends to the other failure domains."""

    domain: str
    age_s: float
    revision: int
    hosts: tuple[HostLevel, ...] = ()
    targets: tuple[TargetLevel, ...] = ()


class CrashRow(NamedTuple):
    """An endpoint that crashed."""

    incarnation: str
    """Incarnation of the endpoint."""
    digests: tuple[int, ...]
    """Digests of the requests that it was running; repeats of a request have the same digest."""
    age_s: float


class ServedRow(NamedTuple):
    """A request that was served."""

    digest: int
    age_s: float


class Heartbeat(NamedTuple):
    """The content of one datagram."""

    host: str
    incarnation: int
    sequence: int
    leaving: bool = False
    overloaded: bool = False
    load: float = 0.0
    revision: int = 0
    heard: tuple[tuple[int, int], ...] = ()
    """(tag of an incarnation, its latest sequence) of hosts that the sender heard directly."""
    doubted: tuple[int, ...] = ()
    """Tags of incarnations that the sender asks the receiver about."""
    loads: tuple[LoadRow, ...] = ()
    details: tuple[Detail, ...] = ()
    requested_details: tuple[int, ...] = ()
    """Hashed names of endpoints whose detail the sender lacks."""
    summaries: tuple[DomainSummary, ...] = ()
    retired: int = 0
    """A replaced incarnation of the receiving host, or 0; its process has to leave."""
    crashes: tuple[CrashRow, ...] = ()
    served: tuple[int, ...] = ()
    """Digests of requests that ran at endpoints that crashed, and that were served since."""
    excused: tuple[ServedRow, ...] = ()
    """Requests that others suspect, and that the sender knows to have been served."""


def hash_name(name: str) -> int:
    """Return the signed 32-bit hash of a name."""
    return _to_signed(zlib.crc32(name.encode()))


def get_incarnation_tag(incarnation: int) -> int:
    """Return the unsigned 32-bit tag of a host's incarnation; it is never 0."""
    return incarnation & TAG_MASK or 1


def parse_incarnation(text: str) -> int:
    """Return the signed number of an incarnation of 16 hexadecimal digits."""
    number = int(text, 16)
    return number - 2**64 if number >= 2**63 else number


def format_incarnation(number: int) -> str:
    """Return the 16 hexadecimal digits of an incarnation."""
    return f"{number & (2**64 - 1):016x}"


def compute_detail_tag(
    incarnation: str, ready: bool, leaving: bool, slots: int, models: Iterable[str]
) -> int:
    """Return the tag of an endpoint's detail, by which load rows refer to it."""
    text = "\n".join((incarnation, str(ready), str(leaving), str(slots), *models))
    return hash_name(text)


def encode(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat; empty lists are left out."""
    message = wire.Heartbeat(
        host=heartbeat.host,
        incarnation=heartbeat.incarnation,
        sequence=heartbeat.sequence,
        flags=LEAVING * heartbeat.leaving | OVERLOADED * heartbeat.overloaded,
        load=_clamp(heartbeat.load * 100, MAX_I8),
        revision=heartbeat.revision,
        heard=[_to_signed(tag) for tag, _ in heartbeat.heard] or None,
        heard_sequences=[sequence for _, sequence in heartbeat.heard] or None,
        doubted=[_to_signed(tag) for tag in heartbeat.doubted] or None,
        loads=_encode_loads(heartbeat.loads) if heartbeat.loads else None,
        details=[_encode_detail(detail) for detail in heartbeat.details] or None,
        wanted=list(heartbeat.requested_details) or None,
        summaries=[_encode_summary(summary) for summary in heartbeat.summaries] or None,
        retired=heartbeat.retired or None,
        ends=[_encode_crash(row) for row in heartbeat.crashes] or None,
        served=list(heartbeat.served) or None,
        excused=[row.digest for row in heartbeat.excused] or None,
        excused_ages=[_encode_age(row.age_s) for row in heartbeat.excused] or None,
    )
    return serialize(message, _PROTOCOL)


def decode(body: bytes) -> Heartbeat:
    """Decode a heartbeat; raise PeerError when it is malformed."""
    try:
        check_struct(body)
        return _decode(deserialize(wire.Heartbeat(), body, _PROTOCOL))
    except PeerError:
        raise
    except Exception as error:
        # The decoder raises many types of exception for malformed bytes, and none of them may stop
        # the control loop.
        raise PeerError("a heartbeat is malformed") from error


def _decode(message: Any) -> Heartbeat:
    if not message.host or not message.sequence or message.sequence < 0:
        raise PeerError("a heartbeat has no sender or no sequence number")
    flags = message.flags or 0
    return Heartbeat(
        host=message.host,
        incarnation=message.incarnation or 0,
        sequence=message.sequence,
        leaving=bool(flags & LEAVING),
        overloaded=bool(flags & OVERLOADED),
        load=max(0, message.load or 0) / 100,
        revision=max(0, message.revision or 0),
        heard=tuple(zip(_to_unsigned(message.heard), message.heard_sequences or (), strict=True)),
        doubted=tuple(_to_unsigned(message.doubted)),
        loads=tuple(_decode_loads(message.loads)),
        details=tuple(_decode_detail(detail) for detail in message.details or ()),
        requested_details=tuple(message.wanted or ()),
        summaries=tuple(_decode_summary(summary) for summary in message.summaries or ()),
        retired=message.retired or 0,
        crashes=tuple(_decode_crash(row) for row in message.ends or ()),
        served=tuple(message.served or ()),
        excused=tuple(_decode_served(message.excused or (), message.excused_ages or ())),
    )


def _encode_loads(rows: Sequence[LoadRow]) -> Any:
    return wire.Loads(
        endpoints=[row.endpoint for row in rows],
        tags=[row.tag for row in rows],
        ages=[_clamp(row.age_s / AGE_STEP_S, MAX_I16) for row in rows],
        running=[_clamp(row.running, MAX_I16) for row in rows],
        waiting=[_clamp(row.waiting, MAX_I16) for row in rows],
    )


def _decode_loads(loads: Any) -> Iterable[LoadRow]:
    if loads is None:
        return ()
    columns = zip(
        loads.endpoints, loads.tags, loads.ages, loads.running, loads.waiting, strict=True
    )
    return (
        LoadRow(endpoint, tag, max(0, age) * AGE_STEP_S, max(0, running), max(0, waiting))
        for endpoint, tag, age, running, waiting in columns
    )


def _encode_detail(detail: Detail) -> Any:
    return wire.Detail(
        name=detail.name,
        incarnation=detail.incarnation,
        flags=READY * detail.ready | LEAVING * detail.leaving,
        slots=_clamp(detail.slots, MAX_I16),
        models=list(detail.models),
        started=_clamp(detail.started_age_s / STARTED_STEP_S, MAX_I32),
        age=_clamp(detail.age_s / AGE_STEP_S, MAX_I16),
    )


def _decode_detail(detail: Any) -> Detail:
    if not detail.name:
        raise PeerError("an endpoint detail has no name")
    return Detail(
        name=detail.name,
        incarnation=detail.incarnation or "",
        ready=bool(detail.flags & READY),
        leaving=bool(detail.flags & LEAVING),
        slots=max(1, detail.slots),
        models=tuple(detail.models or ()),
        started_age_s=max(0, detail.started) * STARTED_STEP_S,
        age_s=max(0, detail.age) * AGE_STEP_S,
    )


def _encode_summary(summary: DomainSummary) -> Any:
    return wire.Summary(
        domain=summary.domain,
        age=_clamp(summary.age_s / AGE_STEP_S, MAX_I16),
        revision=summary.revision,
        hosts=[row.host for row in summary.hosts],
        incarnations=[row.incarnation for row in summary.hosts],
        levels=[max(LEAVING_LEVEL, min(row.level, MAX_I8)) for row in summary.hosts],
        targets=[row.target for row in summary.targets],
        ready=[_encode_count(row.ready) for row in summary.targets],
        free=[_encode_count(row.free) for row in summary.targets],
        waiting=[_encode_count(row.waiting) for row in summary.targets],
    )


def _decode_summary(summary: Any) -> DomainSummary:
    if not summary.domain:
        raise PeerError("a summary has no failure domain")
    hosts = zip(summary.hosts, summary.incarnations, summary.levels, strict=True)
    targets = zip(summary.targets, summary.ready, summary.free, summary.waiting, strict=True)
    return DomainSummary(
        domain=summary.domain,
        age_s=max(0, summary.age) * AGE_STEP_S,
        revision=max(0, summary.revision),
        hosts=tuple(HostLevel(*row) for row in hosts),
        targets=tuple(
            TargetLevel(
                target,
                COUNT_STEPS[max(0, ready)],
                COUNT_STEPS[max(0, free)],
                COUNT_STEPS[max(0, waiting)],
            )
            for target, ready, free, waiting in targets
        ),
    )


def _encode_crash(row: CrashRow) -> Any:
    return wire.End(life=row.incarnation, digests=list(row.digests), age=_encode_age(row.age_s))


def _decode_crash(row: Any) -> CrashRow:
    if not row.life:
        raise PeerError("a crash has no endpoint")
    return CrashRow(row.life, tuple(row.digests or ()), max(0, row.age or 0) * AGE_STEP_S)


def _decode_served(digests: Sequence[int], ages: Sequence[int]) -> Iterable[ServedRow]:
    rows = zip(digests, ages, strict=True)
    return (ServedRow(digest, max(0, age) * AGE_STEP_S) for digest, age in rows)


def _encode_age(age_s: float) -> int:
    return _clamp(age_s / AGE_STEP_S, MAX_I32)


def _clamp(value: float, maximum: int) -> int:
    return round(max(0, min(value, maximum)))


def _encode_count(count: int) -> int:
    return bisect.bisect_right(COUNT_STEPS, max(0, count)) - 1


def _to_signed(number: int) -> int:
    return number - 2**32 if number >= 2**31 else number


def _to_unsigned(numbers: Iterable[int] | None) -> list[int]:
    return [number & TAG_MASK for number in numbers or ()]
