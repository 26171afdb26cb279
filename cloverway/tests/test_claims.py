from __future__ import annotations

import threading

import pytest

from cloverway.errors import Kind, PeerError, Ran, RequestError
from cloverway.messages import Outcome, Request
from cloverway.once.claims import KeyClaimer, LedgerTask, Replayed
from cloverway.once.keys import Ledger, LedgerLimits
from cloverway.replies import Reply

LIMITS = LedgerLimits(
    keys=100, lifetime_s=100.0, recorded_bytes=10_000, recorded_answer_bytes=1_000
)
TIMEOUT_S = 10.0
REPLY = Reply(200, "application/json", b"{}")


def store_anywhere(team, profile, host):
    return True


class Clock:
    def __init__(self):
        self.now = 1_000.0

    def __call__(self):
        return self.now


class IssuerClient:
    """In-process client for the peers' ledgers; messages can be lost in either direction."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.lose_calls = False
        self.lose_answers = False
        self.settled = threading.Event()
        self.settlements = []

    def claim(self, host, address, call):
        if self.lose_calls:
            raise PeerError("unreachable")
        result = self.tasks[host].claim(call)
        if self.lose_answers:
            raise PeerError("silent")
        return result

    def settle(self, host, address, call):
        if self.lose_calls:
            raise PeerError("unreachable")
        self.settlements.append(call)
        self.tasks[host].settle(call)
        self.settled.set()


class Fleet:
    """Two hosts: h1 issues keys, and both claim them."""

    def __init__(self, may_store=store_anywhere):
        self.clock = Clock()
        self.may_store = may_store
        self.tasks = {}
        self.issuers = IssuerClient(self.tasks)
        self.addresses = {"h1": "127.0.0.1:1", "h2": "127.0.0.1:2"}
        self.replace("h1", "i1")
        self.replace("h2", "i1")
        self.claims = {name: self.make_claims(name) for name in ("h1", "h2")}

    def replace(self, host, incarnation):
        if host in self.tasks:
            self.tasks[host].stop()
        ledger = Ledger(host, incarnation, b"s" + incarnation.encode(), LIMITS, self.clock.now)
        self.tasks[host] = LedgerTask(ledger, self.may_store, self.clock)
        self.tasks[host].start()

    def make_claims(self, host):
        claims = KeyClaimer(
            self.tasks[host], self.issuers, self.addresses.get, self.may_store, self.clock
        )
        claims.start()
        return claims

    def stop(self):
        for part in (*self.claims.values(), *self.tasks.values()):
            part.stop()

    def request(self, key, body=b"{}", left_s=10.0):
        now = self.clock.now
        return Request("r", "t", "p", "/x", "POST", body, "", now, now + left_s, key=key)


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.stop()


def get_kind_and_ran(error):
    return error.value.kind, error.value.ran


def test_repeat_at_another_host_gets_the_recorded_answer(fleet):
    """The answer from h1 is lost on the way to the caller, which repeats the request at h2.

    h2 gets the recorded answer from the issuer and marks it as replayed.
    """
    (key,) = fleet.tasks["h1"].issue(1)
    grant = fleet.claims["h1"].claim(fleet.request(key))
    fleet.claims["h1"].settle(grant, Outcome.DONE, REPLY)
    again = fleet.claims["h2"].claim(fleet.request(key))
    assert isinstance(again, Replayed)
    assert again.reply.body == REPLY.body
    assert ("Cloverway-Replayed", "true") in again.reply.headers


def test_remote_grant_is_settled_at_its_issuer(fleet):
    (key,) = fleet.tasks["h1"].issue(1)
    grant = fleet.claims["h2"].claim(fleet.request(key))
    fleet.claims["h2"].settle(grant, Outcome.DONE, REPLY)
    assert fleet.issuers.settled.wait(TIMEOUT_S)
    assert isinstance(fleet.claims["h1"].claim(fleet.request(key)), Replayed)


def test_two_requests_with_one_id(fleet):
    """Two connections send the same request to h2, with the same key and the same request ID.

    If the request ID identified a claimant, the second request would be treated as a repeated claim
    whose answer was lost, and both would run.
    """
    (key,) = fleet.tasks["h1"].issue(1)
    fleet.claims["h2"].claim(fleet.request(key))
    with pytest.raises(RequestError) as error:
        fleet.claims["h2"].claim(fleet.request(key))
    assert get_kind_and_ran(error) == (Kind.KEY_IN_USE, Ran.UNKNOWN)


def test_unreachable_issuer(fleet):
    """The link to the issuer is cut; h2 can't know whether the key was used, so it must not run."""
    (key,) = fleet.tasks["h1"].issue(1)
    fleet.issuers.lose_calls = True
    with pytest.raises(RequestError) as error:
        fleet.claims["h2"].claim(fleet.request(key))
    assert get_kind_and_ran(error) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)
    assert error.value.retry_after > 0


def test_lost_grant_is_released(fleet):
    """The issuer grants the claim, but its answer is lost, and h2 returns "unknown" to the caller.

    h2 then settles "not run", so that a repeat by the caller can run instead of finding the key
    spent.
    """
    (key,) = fleet.tasks["h1"].issue(1)
    fleet.issuers.lose_answers = True
    with pytest.raises(RequestError):
        fleet.claims["h2"].claim(fleet.request(key))
    assert fleet.issuers.settled.wait(TIMEOUT_S)
    fleet.claims["h1"].claim(fleet.request(key)).check(fleet.clock.now)


def test_replaced_issuer(fleet):
    """h1 is replaced at the same address; its new process never grants keys of the old one."""
    (key,) = fleet.tasks["h1"].issue(1)
    fleet.replace("h1", "i2")
    with pytest.raises(RequestError) as error:
        fleet.claims["h2"].claim(fleet.request(key))
    assert get_kind_and_ran(error) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)
    assert error.value.retry_after is None


def test_unpublished_issuer(fleet):
    (key,) = fleet.tasks["h1"].issue(1)
    del fleet.addresses["h1"]
    with pytest.raises(RequestError) as error:
        fleet.claims["h2"].claim(fleet.request(key))
    assert get_kind_and_ran(error) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)


def test_key_chosen_by_the_caller(fleet):
    with pytest.raises(RequestError) as error:
        fleet.claims["h2"].claim(fleet.request("allocation-4711"))
    assert get_kind_and_ran(error) == (Kind.KEY_INVALID, Ran.NO)


def test_grantee_paused_past_its_deadline(fleet):
    """The process is paused between grant and send, and resumes after the deadline.

    The last check before the first byte refuses, and the key becomes free for a repeat.
    """
    (key,) = fleet.tasks["h1"].issue(1)
    grant = fleet.claims["h1"].claim(fleet.request(key))
    fleet.clock.now += 10.0
    with pytest.raises(RequestError) as error:
        grant.check(fleet.clock.now)
    assert get_kind_and_ran(error) == (Kind.DEADLINE, Ran.NO)
    fleet.claims["h1"].settle(grant, Outcome.NOT_SENT)
    fleet.claims["h2"].claim(fleet.request(key)).check(fleet.clock.now)


@pytest.mark.parametrize("outcome", list(Outcome))
def test_settlement_by_outcome(fleet, outcome):
    (key,) = fleet.tasks["h1"].issue(1)
    grant = fleet.claims["h1"].claim(fleet.request(key))
    fleet.claims["h1"].settle(grant, outcome)
    expected = {
        Outcome.DONE: Kind.ANSWER_GONE,
        Outcome.FAILED: Kind.KEY_SPENT,
        Outcome.LOST: Kind.KEY_SPENT,
        Outcome.CALLER_LEFT: Kind.KEY_SPENT,
    }
    if outcome not in expected:
        assert fleet.claims["h1"].claim(fleet.request(key)).start_by
        return
    with pytest.raises(RequestError) as error:
        fleet.claims["h1"].claim(fleet.request(key))
    assert error.value.kind is expected[outcome]


def test_answer_is_not_stored_where_residency_forbids_it():
    """A team that is bound to the region of h2 uses a key of h1, which is in another region.

    h1 records the run but not its answer. A repeat is told only that the request has run.
    """
    fleet = Fleet(may_store=lambda team, profile, host: host == "h2")
    (key,) = fleet.tasks["h1"].issue(1)
    grant = fleet.claims["h2"].claim(fleet.request(key))
    fleet.claims["h2"].settle(grant, Outcome.DONE, REPLY)
    assert fleet.issuers.settled.wait(TIMEOUT_S)
    with pytest.raises(RequestError) as error:
        fleet.claims["h2"].claim(fleet.request(key))
    assert get_kind_and_ran(error) == (Kind.ANSWER_GONE, Ran.YES)
    assert [call.recorded for call in fleet.issuers.settlements] == [None]
    fleet.stop()


def test_issuer_checks_residency_again(fleet):
    """The grantee has an older configuration and includes the answer in the settlement.

    The issuer checks with its own configuration too, so the stricter of the two applies.
    """
    (key,) = fleet.tasks["h1"].issue(1)
    fleet.tasks["h1"]._may_store = lambda team, profile, host: False
    grant = fleet.claims["h2"].claim(fleet.request(key))
    fleet.claims["h2"].settle(grant, Outcome.DONE, REPLY)
    assert fleet.issuers.settled.wait(TIMEOUT_S)
    assert fleet.tasks["h1"].count().recorded_bytes == 0


def test_settlement_is_retried(fleet):
    """The link is cut when the run ends and restored later; the settlement then arrives."""
    (key,) = fleet.tasks["h1"].issue(1)
    grant = fleet.claims["h2"].claim(fleet.request(key))
    fleet.issuers.lose_calls = True
    fleet.claims["h2"].settle(grant, Outcome.DONE, REPLY)
    assert not fleet.issuers.settled.wait(0.05)
    fleet.issuers.lose_calls = False
    fleet.clock.now += 1.0
    assert fleet.issuers.settled.wait(TIMEOUT_S)


def test_leaving_host_issues_no_keys(fleet):
    (key,) = fleet.tasks["h1"].issue(1)
    fleet.tasks["h1"].stop_issuing()
    with pytest.raises(RequestError) as error:
        fleet.tasks["h1"].issue(1)
    assert get_kind_and_ran(error) == (Kind.LEAVING, Ran.NO)
    assert fleet.claims["h2"].claim(fleet.request(key)).issuer == "h1"
    assert fleet.tasks["h1"].count().outstanding == 1


@pytest.mark.parametrize("count", [0, 1_001])
def test_keys_per_call_are_bounded(fleet, count):
    with pytest.raises(RequestError) as error:
        fleet.tasks["h1"].issue(count)
    assert error.value.kind is Kind.MALFORMED
