"""What one host knows of the endpoints of its failure domain. Pure, as `membership` is.

Two hosts read each endpoint and tell the others. An endpoint of which nothing is heard is unknown:
its state stays as it was last, with the time of its last report, but it is not ready. It is never
taken for leaving, nor for idle.
"""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from cloverway.membership.heartbeats import Detail, LoadRow, identify, tag_detail
from cloverway.membership.view import EndpointState

RETIRED_INCARNATIONS = 8
RETIRED_S = 30.0
"""How long the word of a sibling can't bring a replaced incarnation back."""
LIST_LAG_S = 30.0
"""For so long after a replacement the platform's list may still mean the incarnation before."""
SAME_START_S = 1.0
"""Two hosts' times of one start differ by less than this."""
NEVER = float("-inf")


class Report(NamedTuple):
    """An endpoint's own word."""

    incarnation: str
    ready: bool
    leaving: bool
    running: int
    waiting: int
    slots: int
    models: tuple[str, ...]
    age_s: float = 0.0


class Known(NamedTuple):
    """One endpoint's state with what is needed to merge it."""

    state: EndpointState
    ready: bool = False
    """Its last word; the state's own flag falls also when nothing is heard."""
    tag: int = 0
    observed_at: float = NEVER
    """When a report of it was last known to a host of the domain."""
    detail_at: float = NEVER
    """When the slowly changing part was reported."""
    own_at: float = NEVER
    """When this host itself last read it."""
    left: bool = False
    """Leaving, for the rest of this incarnation."""
    listed: bool = False
    """The platform's list says leaving, and may mean the incarnation before."""


class Readings:
    """The endpoints of one failure domain."""

    def __init__(self, silent_s: float) -> None:
        self.silent_s = silent_s
        """For so long an endpoint may go without a report before it is unknown."""
        self._known: dict[str, Known] = {}
        self._names: dict[int, str] = {}
        self._retired: dict[str, dict[str, float]] = {}
        self._pending: dict[str, tuple[LoadRow, float]] = {}
        self._list_said: dict[str, bool] = {}
        self._replaced_at: dict[str, float] = {}
        self._news: dict[str, float] = {}
        self._grace_until = NEVER
        self.alone: frozenset[str] = frozenset()
        """Endpoints whose short identifiers clash: each host reads them itself."""

    def adopt(self, names: Iterable[str]) -> None:
        """Take the published endpoints of the failure domain; forget those that are gone."""
        wanted = list(names)
        gone_names = set(self._known).difference(wanted)
        counts = Counter(identify(name) for name in wanted)
        self.alone = frozenset(name for name in wanted if counts[identify(name)] > 1)
        self._names = {identify(name): name for name in wanted if name not in self.alone}
        blank = Known(EndpointState(""))
        self._known = {
            name: self._known.get(name) or blank._replace(state=EndpointState(name))
            for name in wanted
        }
        self._retired = {name: self._retired.get(name, {}) for name in wanted}
        tables: tuple[dict[str, Any], ...] = (
            self._pending,
            self._list_said,
            self._replaced_at,
            self._news,
        )
        for table, gone in itertools.product(tables, gone_names):
            table.pop(gone, None)

    def take_report(self, name: str, report: Report, now: float) -> bool:
        """Take an endpoint's own word; tell whether siblings are to know of it at once."""
        known = self._known.get(name)
        if known is None:
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
        # The endpoint itself answered, on a connection that this host opened: that is the only
        # word that may bring an incarnation back.
        merged = self._merge_detail(known, detail, now, own=True)
        reported_at = max(merged.state.reported_at, now - report.age_s)
        self._known[name] = merged._replace(
            observed_at=max(merged.observed_at, now),
            own_at=now,
            state=merged.state._replace(
                running=report.running, waiting=report.waiting, reported_at=reported_at
            ),
        )
        if merged.tag != known.tag:
            self._news[name] = now
        return merged.tag != known.tag

    def take_details(self, details: Iterable[Detail], at: float) -> bool:
        """Take what a sibling knows; tell whether anything of it was new."""
        news = False
        for detail in details:
            known = self._known.get(detail.name)
            if known is None or self._is_retired(known, detail, at):
                continue
            merged = self._merge_detail(known, detail, at, own=False)
            self._known[detail.name] = merged
            self._apply_pending(detail.name)
            news = news or merged.tag != known.tag
            if merged.state.leaving and not known.state.leaving:
                # Told on with the next heartbeats: the one host that saw the sign may be dead, or
                # its datagrams to some of the others lost.
                self._news[detail.name] = at
            if at - detail.started_age_s > merged.state.started_at + SAME_START_S:
                # The sender takes a warm endpoint for one that has just started.
                self._news.setdefault(detail.name, at)
        return news

    def take_loads(self, rows: Iterable[LoadRow], at: float) -> None:
        """Take a sibling's readings; those of a state not known here wait for its detail."""
        for row in rows:
            name = self._names.get(row.endpoint)
            if name is not None:
                self._pending.pop(name, None)
                if not self._apply(name, row, at):
                    self._pending[name] = (row, at)

    def lacking(self, most: int) -> tuple[int, ...]:
        """Give some of the endpoints whose detail is to be asked for, the latest first."""
        return tuple(identify(name) for name in itertools.islice(reversed(self._pending), most))

    def take_list(self, leaving: Mapping[str, bool], now: float) -> bool:
        """Take the platform's list, which lags; tell whether there is a new sign of leaving.

        The list names no incarnation. When it turns to leaving, that binds for the rest of the
        incarnation that is there, and that it says live later takes nothing back. Where it may
        mean another incarnation (one that was replaced lately, or none is known, or this is the
        first list that is read), the sign holds for as long as the list gives it: else a list
        that lags would shut out a restarted endpoint until its next restart.
        """
        news = False
        first = not self._list_said
        for name, known in self._known.items():
            says = leaving.get(name, False)
            before = self._list_said.get(name, False)
            self._list_said[name] = says
            if says == before:
                continue
            sure = not first and self._is_settled(known, now)
            changed = known._replace(left=known.left or (says and sure), listed=says)
            self._known[name] = _settle(changed)
            if self._known[name].tag != known.tag:
                self._news[name] = now
                news = True
        return news

    def resume(self, now: float) -> None:
        """Note that this process did not run for a while: silence until now counts for nothing."""
        self._grace_until = now + self.silent_s

    def rows(self, since: float, now: float) -> tuple[LoadRow, ...]:
        """Give what this host itself has read since a time."""
        return tuple(
            LoadRow(
                endpoint=identify(name),
                tag=known.tag,
                age_s=now - known.state.reported_at,
                running=known.state.running,
                waiting=known.state.waiting,
            )
            for name, known in self._known.items()
            if known.own_at > since and name not in self.alone
        )

    def news(self, since: float) -> list[str]:
        """List the endpoints whose slowly changing part has changed since a time."""
        self._news = {name: at for name, at in self._news.items() if at > since}
        return list(self._news)

    def details(self, names: Iterable[str], now: float) -> list[Detail]:
        """Give the slowly changing part of some endpoints."""
        found = (self._known[name] for name in names if name in self._known)
        return [
            Detail(
                name=known.state.name,
                incarnation=known.state.incarnation,
                ready=known.ready,
                leaving=known.state.leaving,
                slots=known.state.slots,
                models=known.state.models,
                started_age_s=now - known.state.started_at,
                age_s=now - known.detail_at,
            )
            for known in found
            if known.state.incarnation
        ]

    def name_of(self, identifier: int) -> str | None:
        """Give the name behind a short identifier."""
        return self._names.get(identifier)

    def states(self, now: float) -> dict[str, EndpointState]:
        """Give all endpoints for the view."""
        return {name: self._judge(known, now) for name, known in self._known.items()}

    def _is_settled(self, known: Known, now: float) -> bool:
        replaced_at = self._replaced_at.get(known.state.name, NEVER)
        return bool(known.state.incarnation) and now - replaced_at >= LIST_LAG_S

    def _judge(self, known: Known, now: float) -> EndpointState:
        heard = now - known.observed_at < self.silent_s or now < self._grace_until
        return known.state._replace(ready=known.ready and heard)

    def _merge_detail(self, known: Known, detail: Detail, at: float, own: bool) -> Known:
        state = known.state
        started_at = at - detail.started_age_s
        reported_at = at - detail.age_s
        same = state.incarnation == detail.incarnation
        if not same and state.incarnation:
            self._retire(detail.name, state.incarnation, at)
        if same:
            started_at = min(started_at, state.started_at)
        left = detail.leaving or (same and known.left)
        assert not (same and known.left and not left), "leaving was taken back"
        if same and not own and reported_at < known.detail_at:
            kept = state._replace(started_at=started_at)
            return _settle(known._replace(state=kept, left=left))
        return _settle(
            known._replace(
                ready=detail.ready,
                left=left,
                listed=known.listed and (same or not state.incarnation),
                detail_at=max(reported_at, known.detail_at) if same else reported_at,
                state=state._replace(
                    incarnation=detail.incarnation,
                    slots=max(1, detail.slots),
                    models=tuple(detail.models),
                    started_at=started_at,
                    reported_at=state.reported_at if same else NEVER,
                    running=state.running if same else 0,
                    waiting=state.waiting if same else 0,
                ),
            )
        )

    def _is_retired(self, known: Known, detail: Detail, at: float) -> bool:
        if detail.incarnation == known.state.incarnation:
            return False
        retired_at = self._retired[known.state.name].get(detail.incarnation)
        if retired_at is not None and at - retired_at < RETIRED_S:
            return True
        return at - detail.age_s < known.detail_at

    def _retire(self, name: str, incarnation: str, at: float) -> None:
        self._replaced_at[name] = at
        retired = self._retired[name]
        retired.pop(incarnation, None)
        retired[incarnation] = at
        while len(retired) > RETIRED_INCARNATIONS:
            del retired[next(iter(retired))]

    def _apply_pending(self, name: str) -> None:
        if name in self._pending and self._apply(name, *self._pending[name]):
            del self._pending[name]

    def _apply(self, name: str, row: LoadRow, at: float) -> bool:
        known = self._known[name]
        if known.tag != row.tag or not known.state.incarnation:
            return False
        reported_at = at - row.age_s
        state = known.state
        if reported_at > state.reported_at:
            state = state._replace(
                running=row.running, waiting=row.waiting, reported_at=reported_at
            )
        self._known[name] = known._replace(observed_at=max(known.observed_at, at), state=state)
        return True


def _settle(known: Known) -> Known:
    """Bring the flag of leaving and the tag in line with the rest."""
    state = known.state._replace(leaving=known.left or known.listed)
    tag = tag_detail(state.incarnation, known.ready, state.leaving, state.slots, state.models)
    return known._replace(state=state, tag=tag)
