"""The states of the endpoints of one failure domain, as one host knows them.

Like `membership`, the code is pure. Two hosts read the load reports of each endpoint and send them
to the others. An endpoint without recent reports is unknown: it keeps its last state and the time
of its last report, but is not ready. It never counts as leaving, nor as idle.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from cloverway.membership.heartbeats import Detail, LoadRow, compute_detail_tag, hash_name
from cloverway.membership.view import EndpointState

MAX_RETIRED_INCARNATIONS = 8
RETIREMENT_S = 30.0
"""How long a detail from another host can't restore an incarnation that was replaced."""
MAX_LIST_LAG_S = 30.0
"""How long after a replacement the platform's list may still refer to the previous incarnation."""
START_TIME_TOLERANCE_S = 1.0
"""Maximum difference between two hosts' estimates of the same start time."""
NEVER = float("-inf")


class LoadReport(NamedTuple):
    """The load report of an endpoint."""

    incarnation: str
    ready: bool
    leaving: bool
    running: int
    waiting: int
    slots: int
    models: tuple[str, ...]
    age_s: float = 0.0


class EndpointRecord(NamedTuple):
    """The state of one endpoint, with what is needed to merge updates into it."""

    state: EndpointState
    ready: bool = False
    """Whether its last report said ready; `state.ready` is false also without recent reports."""
    tag: int = 0
    observed_at: float = NEVER
    """When a host of the domain last had a report from it."""
    detail_at: float = NEVER
    """When its current detail was reported."""
    read_at: float = NEVER
    """When this host last read its load report."""
    leaving_confirmed: bool = False
    """It is leaving for the rest of this incarnation."""
    listed_leaving: bool = False
    """The platform lists it as leaving, possibly because of the previous incarnation."""


class EndpointTable:
    """The states of all endpoints of one failure domain."""

    def __init__(self, silence_timeout_s: float) -> None:
        self.silence_timeout_s = silence_timeout_s
        """An endpoint without a report for this long is unknown."""
        self._records: dict[str, EndpointRecord] = {}
        self._names: dict[int, str] = {}
        self._retired: dict[str, dict[str, float]] = {}
        self._pending: dict[str, tuple[LoadRow, float]] = {}
        self._listed_leaving: dict[str, bool] = {}
        self._replaced_at: dict[str, float] = {}
        self._changed_at: dict[str, float] = {}
        self._grace_until = NEVER
        self.colliding: frozenset[str] = frozenset()
        """Endpoints whose hashed names collide; each host reads them itself."""

    def adopt(self, names: Iterable[str]) -> None:
        """Apply the published endpoints of the failure domain; drop those that were removed."""
        published_names = list(names)
        removed_names = set(self._records).difference(published_names)
        counts = Counter(hash_name(name) for name in published_names)
        self.colliding = frozenset(name for name in published_names if counts[hash_name(name)] > 1)
        self._names = {
            hash_name(name): name for name in published_names if name not in self.colliding
        }
        empty_record = EndpointRecord(EndpointState(""))
        self._records = {
            name: self._records.get(name) or empty_record._replace(state=EndpointState(name))
            for name in published_names
        }
        self._retired = {name: self._retired.get(name, {}) for name in published_names}
        tables: tuple[dict[str, Any], ...] = (
            self._pending,
            self._listed_leaving,
            self._replaced_at,
            self._changed_at,
        )
        for table, removed in itertools.product(tables, removed_names):
            table.pop(removed, None)

    def apply_report(self, name: str, report: LoadReport, now: float) -> bool:
        """Apply a report that this host read; return whether to broadcast its detail at once."""
        record = self._records.get(name)
        if record is None:
            return False
        detail = Detail(
            name=name,
            incarnation=report.incarnation,
            ready=report.ready,
            leaving=report.leaving,
            slots=report.slots,
            models=report.models,
            started_age_s=0.0,
            age_s=report.age_s,
        )
        # The endpoint itself answered, on a connection that this host opened. Only such a report
        # may restore an incarnation that was replaced.
        merged = self._merge_detail(record, detail, now, from_endpoint=True)
        reported_at = max(merged.state.reported_at, now - report.age_s)
        self._records[name] = merged._replace(
            observed_at=max(merged.observed_at, now),
            read_at=now,
            state=merged.state._replace(
                running=report.running, waiting=report.waiting, reported_at=reported_at
            ),
        )
        if merged.tag != record.tag:
            self._changed_at[name] = now
        return merged.tag != record.tag

    def apply_details(self, details: Iterable[Detail], at: float) -> bool:
        """Apply the details from another host; return whether any of them changed a state."""
        changed = False
        for detail in details:
            record = self._records.get(detail.name)
            if record is None or self._is_retired(record, detail, at):
                continue
            merged = self._merge_detail(record, detail, at, from_endpoint=False)
            self._records[detail.name] = merged
            self._apply_pending(detail.name)
            changed = changed or merged.tag != record.tag
            if merged.state.leaving and not record.state.leaving:
                # Forwarded with the next heartbeats: the one host that saw the endpoint leave may
                # be dead, or its datagrams to some siblings lost.
                self._changed_at[detail.name] = at
            if at - detail.started_age_s > merged.state.started_at + START_TIME_TOLERANCE_S:
                # The sender believes that the endpoint started later than it did, and would treat
                # a warm endpoint as one that has just started.
                self._changed_at.setdefault(detail.name, at)
        return changed

    def apply_loads(self, rows: Iterable[LoadRow], at: float) -> None:
        """Apply the load rows from another host; a row with an unknown tag waits for its detail."""
        for row in rows:
            name = self._names.get(row.endpoint)
            if name is not None:
                self._pending.pop(name, None)
                if not self._apply(name, row, at):
                    self._pending[name] = (row, at)

    def list_missing_details(self, max_count: int) -> tuple[int, ...]:
        """Return hashed names of endpoints whose detail is missing, the latest first."""
        return tuple(
            hash_name(name) for name in itertools.islice(reversed(self._pending), max_count)
        )

    def apply_member_list(self, leaving: Mapping[str, bool], now: float) -> bool:
        """Apply the platform's list, which lags; return whether a state changed.

        The list names no incarnation. When an entry changes to leaving, the endpoint is leaving for
        the rest of its current incarnation, and a later change back to live is ignored. An entry
        may refer to another incarnation when the endpoint was replaced recently, when none is known
        yet, or in the first list that is read. Then the endpoint is leaving only while the list
        says so: otherwise a lagging list would exclude a restarted endpoint until its next restart.
        """
        changed = False
        is_first_list = not self._listed_leaving
        for name, record in self._records.items():
            listed = leaving.get(name, False)
            previously_listed = self._listed_leaving.get(name, False)
            self._listed_leaving[name] = listed
            if listed == previously_listed:
                continue
            certain = not is_first_list and self._is_incarnation_settled(record, now)
            updated = record._replace(
                leaving_confirmed=record.leaving_confirmed or (listed and certain),
                listed_leaving=listed,
            )
            self._records[name] = _update_flags(updated)
            if self._records[name].tag != record.tag:
                self._changed_at[name] = now
                changed = True
        return changed

    def resume(self, now: float) -> None:
        """Record that this process was paused until now; silence during the pause is ignored."""
        self._grace_until = now + self.silence_timeout_s

    def list_load_rows(self, since: float, now: float) -> tuple[LoadRow, ...]:
        """Return a load row for each endpoint that this host has read since a time."""
        return tuple(
            LoadRow(
                endpoint=hash_name(name),
                tag=record.tag,
                age_s=now - record.state.reported_at,
                running=record.state.running,
                waiting=record.state.waiting,
            )
            for name, record in self._records.items()
            if record.read_at > since and name not in self.colliding
        )

    def list_changed(self, since: float) -> list[str]:
        """List the endpoints whose detail has changed since a time."""
        self._changed_at = {name: at for name, at in self._changed_at.items() if at > since}
        return list(self._changed_at)

    def list_details(self, names: Iterable[str], now: float) -> list[Detail]:
        """Return the details of some endpoints; those without a report are left out."""
        found = (self._records[name] for name in names if name in self._records)
        return [
            Detail(
                name=record.state.name,
                incarnation=record.state.incarnation,
                ready=record.ready,
                leaving=record.state.leaving,
                slots=record.state.slots,
                models=record.state.models,
                started_age_s=now - record.state.started_at,
                age_s=now - record.detail_at,
            )
            for record in found
            if record.state.incarnation
        ]

    def get_name(self, identifier: int) -> str | None:
        """Return the name of an endpoint by its hash, or None when it is unknown."""
        return self._names.get(identifier)

    def get_states(self, now: float) -> dict[str, EndpointState]:
        """Return the states of all endpoints for the view, by name."""
        return {name: self._make_state(record, now) for name, record in self._records.items()}

    def _is_incarnation_settled(self, record: EndpointRecord, now: float) -> bool:
        replaced_at = self._replaced_at.get(record.state.name, NEVER)
        return bool(record.state.incarnation) and now - replaced_at >= MAX_LIST_LAG_S

    def _make_state(self, record: EndpointRecord, now: float) -> EndpointState:
        heard = now - record.observed_at < self.silence_timeout_s or now < self._grace_until
        return record.state._replace(ready=record.ready and heard)

    def _merge_detail(
        self, record: EndpointRecord, detail: Detail, at: float, from_endpoint: bool
    ) -> EndpointRecord:
        state = record.state
        started_at = at - detail.started_age_s
        reported_at = at - detail.age_s
        same_incarnation = state.incarnation == detail.incarnation
        if not same_incarnation and state.incarnation:
            self._retire(detail.name, state.incarnation, at)
        if same_incarnation:
            started_at = min(started_at, state.started_at)
        leaving_confirmed = detail.leaving or (same_incarnation and record.leaving_confirmed)
        assert not (
            same_incarnation and record.leaving_confirmed and not leaving_confirmed
        ), "leaving was taken back"
        if same_incarnation and not from_endpoint and reported_at < record.detail_at:
            updated_state = state._replace(started_at=started_at)
            return _update_flags(
                record._replace(state=updated_state, leaving_confirmed=leaving_confirmed)
            )
        return _update_flags(
            record._replace(
                ready=detail.ready,
                leaving_confirmed=leaving_confirmed,
                listed_leaving=record.listed_leaving
                and (same_incarnation or not state.incarnation),
                detail_at=max(reported_at, record.detail_at) if same_incarnation else reported_at,
                state=state._replace(
                    incarnation=detail.incarnation,
                    slots=max(1, detail.slots),
                    models=tuple(detail.models),
                    started_at=started_at,
                    reported_at=state.reported_at if same_incarnation else NEVER,
                    running=state.running if same_incarnation else 0,
                    waiting=state.waiting if same_incarnation else 0,
                ),
            )
        )

    def _is_retired(self, record: EndpointRecord, detail: Detail, at: float) -> bool:
        if detail.incarnation == record.state.incarnation:
            return False
        retired_at = self._retired[record.state.name].get(detail.incarnation)
        if retired_at is not None and at - retired_at < RETIREMENT_S:
            return True
        return at - detail.age_s < record.detail_at

    def _retire(self, name: str, incarnation: str, at: float) -> None:
        self._replaced_at[name] = at
        retired = self._retired[name]
        retired.pop(incarnation, None)
        retired[incarnation] = at
        while len(retired) > MAX_RETIRED_INCARNATIONS:
            del retired[next(iter(retired))]

    def _apply_pending(self, name: str) -> None:
        if name in self._pending and self._apply(name, *self._pending[name]):
            del self._pending[name]

    def _apply(self, name: str, row: LoadRow, at: float) -> bool:
        record = self._records[name]
        if record.tag != row.tag or not record.state.incarnation:
            return False
        reported_at = at - row.age_s
        state = record.state
        if reported_at > state.reported_at:
            state = state._replace(
                running=row.running, waiting=row.waiting, reported_at=reported_at
            )
        self._records[name] = record._replace(observed_at=max(record.observed_at, at), state=state)
        return True


def _update_flags(record: EndpointRecord) -> EndpointRecord:
    """Recompute the leaving flag and the tag of a record."""
    state = record.state._replace(leaving=record.leaving_confirmed or record.listed_leaving)
    tag = compute_detail_tag(
        state.incarnation, record.ready, state.leaving, state.slots, state.models
    )
    return record._replace(state=state, tag=tag)
