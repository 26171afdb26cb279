"""Random runs of several configuration stores, with a platform that may be stale or restored from
older data, and messages that are late, repeated or out of order."""

from __future__ import annotations

from typing import Any

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cloverway.config.configuration import ConfigurationStore, Gap, Source
from cloverway.config.published import Published
from cloverway.errors import ConfigurationError
from cloverway.sources.port import Changes, Document

STORES = 3
REGIONS = ("curepipe", "port-louis", "rodrigues")
DOMAIN_REGIONS = ("curepipe", "port-louis", "rodrigues", "curepipe", "port-louis", "nowhere")
DELETED = ("domains/b", "regions/rodrigues", "teams/p", "teams/q")
store_index = st.integers(0, STORES - 1)
readers = st.sets(store_index)


class FakePlatform:
    """Keeps a log of revisions; may serve an old one, or lose the latest ones and reuse them."""

    def __init__(self) -> None:
        self.log: list[Document] = []
        self.served: int | None = None
        self.published_sets: dict[tuple[int, str], bool] = {}
        """Whether each published set of documents is valid, by revision and digest."""

    @property
    def revision(self) -> int:
        return len(self.log)

    def publish(self, key: str, value: dict[str, Any] | None) -> None:
        self.log.append(Document(key, self.revision + 1, value))
        self._record_set()

    def restore(self, revision: int) -> None:
        self.log = self.log[:revision]

    def answer(self, after: int) -> Changes:
        served = self.revision if self.served is None else min(self.served, self.revision)
        last = {document.key: document for document in self.log[:served]}
        return Changes(served, after, tuple(d for d in last.values() if d.revision > after))

    def make_tables(self) -> dict[str, Any]:
        tables: dict[str, Any] = {"revision": self.revision}
        for document in self.answer(0).documents:
            table, _, name = document.key.partition("/")
            if document.value is not None and name:
                tables.setdefault(table, {})[name] = document.value
            elif document.value is not None:
                tables[table] = document.value
        return tables

    def _record_set(self) -> None:
        served, self.served = self.served, None
        store = ConfigurationStore()
        store.apply(self.answer(0), Source.PLATFORM, 0.0)
        try:
            Published.from_documents(self.make_tables())
            valid = True
        except ConfigurationError:
            valid = False
        # The store checks only changes, and the loader checks all documents; both must agree.
        assert (store.revision == self.revision) == valid
        self.published_sets[self.revision, digest_of(self.answer(0))] = valid
        self.served = served


def digest_of(changes: Changes) -> str:
    store = ConfigurationStore()
    live = {d.key: d._replace(revision=1) for d in changes.documents if d.value is not None}
    store._revisions.documents.apply(
        {key: make_entry(document) for key, document in live.items()}, changes.revision
    )
    return store.digest


def make_entry(document: Document) -> Any:
    from cloverway.config.documents import DocumentEntry  # noqa: PLC0415

    return DocumentEntry.from_document(document)


class Stores(RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.nonce = 0
        self.platform = FakePlatform()
        self.platform.publish("organisation", {"name": "riviere"})
        self.platform.publish("regions/port-louis", {})
        self.platform.publish("domains/a", {"region": "port-louis"})
        self.stores = [ConfigurationStore() for _ in range(STORES)]
        self.highest = [0] * STORES
        self.answers: list[Changes | None] = [None] * STORES
        self.network: list[Changes] = []
        for i in range(STORES):
            self.read_platform(i)
            self.stores[i].start_serving()

    # Operators: most of what they publish is valid, so that the stores make progress.

    @rule(name=st.sampled_from(REGIONS), then=st.integers(0, 2), readers=readers)
    def publish_region(self, name: str, then: int, readers: set[int]) -> None:
        for _ in range(then + 1):
            self.nonce += 1
            self.platform.publish(f"regions/{name}", {"title": str(self.nonce)})
        self.read_at_stores(readers)

    @rule(name=st.sampled_from("ab"), region=st.sampled_from(DOMAIN_REGIONS), readers=readers)
    def publish_domain(self, name: str, region: str, readers: set[int]) -> None:
        self.platform.publish(f"domains/{name}", {"region": region})
        self.read_at_stores(readers)

    @rule(name=st.sampled_from("pq"), key=st.sampled_from("12"), readers=readers)
    def publish_team(self, name: str, key: str, readers: set[int]) -> None:
        key_hashes = ["sha256:" + key * 64]
        self.platform.publish(f"teams/{name}", {"home": "port-louis", "key_hashes": key_hashes})
        self.read_at_stores(readers)

    @rule(key=st.sampled_from(DELETED), readers=readers)
    def delete(self, key: str, readers: set[int]) -> None:
        self.platform.publish(key, None)
        self.read_at_stores(readers)

    def read_at_stores(self, readers: set[int]) -> None:
        for i in readers:
            self.read_platform(i)

    @rule(back=st.integers(0, 4))
    def freeze(self, back: int) -> None:
        self.platform.served = max(0, self.platform.revision - back)

    @rule()
    def thaw(self) -> None:
        self.platform.served = None

    @rule(back=st.integers(1, 4), then=st.integers(0, 5), seen_by=readers, readers=readers)
    def restore(self, back: int, then: int, seen_by: set[int], readers: set[int]) -> None:
        """Restore the platform from older data after an outage; some hosts read that state."""
        self.now += 11
        self.answers = [None] * STORES
        self.platform.restore(max(3, self.platform.revision - back))
        self.read_at_stores(seen_by)
        if then:
            self.publish_region("port-louis", then, readers)

    # Stores.

    def read_platform(self, i: int) -> None:
        self.request_from_platform(i)
        self.receive_from_platform(i)

    @rule(i=store_index)
    def request_from_platform(self, i: int) -> None:
        self.answers[i] = self.platform.answer(self.stores[i].read_after)

    @rule(i=store_index)
    def receive_from_platform(self, i: int) -> None:
        answer, self.answers[i] = self.answers[i], None
        if answer is not None:
            self.stores[i].apply(answer, Source.PLATFORM, self.now)

    @rule(i=store_index, j=store_index)
    def fetch_from_peer(self, i: int, j: int) -> None:
        after = self.stores[i].get_fetch_after(self.stores[j].served_revision)
        if i != j and after is not None:
            changes = self.stores[j].get_changes_after(after)
            self.network.append(changes)
            self.stores[i].apply(changes, Source.PEER, self.now)

    @precondition(lambda self: self.network)
    @rule(which=st.integers(0, 99), i=store_index)
    def deliver_late(self, which: int, i: int) -> None:
        """Deliver a delta late, again, out of order, or to a store that did not request it."""
        changes = self.network.pop(which % len(self.network))
        self.stores[i].apply(changes, Source.PEER, self.now)

    @rule(i=store_index)
    def restart(self, i: int) -> None:
        self.stores[i], self.highest[i], self.answers[i] = ConfigurationStore(), 0, None

    @rule(i=store_index)
    def start_serving(self, i: int) -> None:
        if self.stores[i].revision:
            self.stores[i].start_serving()

    @rule(seconds=st.sampled_from((1, 5, 11)))
    def advance_time(self, seconds: int) -> None:
        self.now += seconds

    @invariant()
    def never_goes_back(self) -> None:
        for i, store in enumerate(self.stores):
            if store.served_revision:
                assert store.revision >= self.highest[i]
                self.highest[i] = store.revision

    @invariant()
    def only_valid_sets_are_in_force(self) -> None:
        for store in self.stores:
            if store.revision:
                assert self.platform.published_sets[store.revision, store.digest]

    def teardown(self) -> None:
        """Recover the platform as the operator guide describes; check that all stores follow."""
        self.platform.served = None
        self.network.clear()
        while self.platform.revision < max(store.revision for store in self.stores):
            self.platform.publish("regions/curepipe", {})
        self.platform.publish("teams/p", None)
        self.platform.publish("teams/q", None)
        for name in REGIONS:
            self.platform.publish(f"regions/{name}", {})
        for document in self.platform.answer(0).documents:
            if document.value is not None:
                self.platform.publish(document.key, document.value)
        for name in "ab":
            self.platform.publish(f"domains/{name}", {"region": "curepipe"})
        for _ in range(4):
            self.now += 1
            for i in range(STORES):
                self.request_from_platform(i)
                self.receive_from_platform(i)
                self.start_serving(i)
        expected = (self.platform.revision, digest_of(self.platform.answer(0)))
        assert all((store.revision, store.digest) == expected for store in self.stores)
        assert not any(store.platform_stale for store in self.stores)


Stores.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestStores = Stores.TestCase


def test_gap_is_not_applied() -> None:
    store = ConfigurationStore()
    later = Changes(9, 8, (Document("regions/rodrigues", 9, {}),))
    assert store.apply(later, Source.PEER, 0.0) == Gap(0, 8)
