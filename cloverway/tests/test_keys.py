from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cloverway.errors import Kind, Ran
from cloverway.messages import Refused
from cloverway.once.key_format import ParsedKey
from cloverway.once.keys import (
    Grant,
    Recorded,
    Settlement,
    compute_content_digest,
)
from cloverway.tests.ledgers import ANSWER, LIMITS, issue, make_claim, make_ledger, make_settle_call
from cloverway.tests.processor_time import limit_processor_time


def get_kind_and_ran(result):
    assert isinstance(result, Refused), result
    return result.kind, result.ran


def test_repeat_while_the_first_run_is_in_progress():
    """The caller sends the same request to two hosts at the same time.

    One claim is granted. The other connection gets key_in_use with a retry time, because the first
    run has not ended and only one run is ever allowed.
    """
    ledger = make_ledger()
    key = issue(ledger)
    assert ledger.claim(make_claim(key), 1.0) == Grant(10.0)
    second = ledger.claim(make_claim(key, "b"), 1.0)
    assert get_kind_and_ran(second) == (Kind.KEY_IN_USE, Ran.UNKNOWN)
    assert second.retry_after > 0


def test_lost_answer_to_a_claim():
    """The answer to a claim is lost and the claimant repeats the claim on a new connection.

    It gets the same grant: it has sent nothing yet, so it is still the only one that runs.
    """
    ledger = make_ledger()
    key = issue(ledger)
    assert ledger.claim(make_claim(key), 1.0) == ledger.claim(make_claim(key), 1.5) == Grant(10.0)


def test_repeat_after_the_answer_was_lost():
    """The run is done, but its answer was lost, and the caller repeats the request at another host.

    The issuer returns the recorded answer; nothing runs again.
    """
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    assert ledger.settle(make_settle_call(key, Settlement.DONE, recorded=ANSWER), 2.0)
    assert ledger.claim(make_claim(key, "b"), 50.0) == ANSWER


def test_repeat_after_unknown_outcome():
    """The connection to the endpoint broke after the request was sent, and the caller repeats it.

    The first run may have happened, so the key can never be granted again.
    """
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    assert ledger.settle(make_settle_call(key, Settlement.UNKNOWN), 2.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b"), 3.0)) == (
        Kind.KEY_SPENT,
        Ran.UNKNOWN,
    )


def test_grantee_killed():
    """The host with the grant crashed; whether it had sent the request is unknown.

    A repeat is told to wait until the request's deadline plus the margin, and then that the outcome
    is unknown. An expired time limit alone never frees the key.
    """
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b"), 11.9))[0] is Kind.KEY_IN_USE
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b"), 12.0)) == (
        Kind.KEY_SPENT,
        Ran.UNKNOWN,
    )


def test_grantee_resumes_late_and_has_not_run():
    """The grantee was paused past the deadline; it then finds its grant expired and settles.

    No byte was sent, so the repeat that was answered with "unknown" may now run.
    """
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b"), 30.0))[0] is Kind.KEY_SPENT
    assert ledger.settle(make_settle_call(key, Settlement.NOT_RUN), 31.0)
    assert isinstance(ledger.claim(make_claim(key, "c"), 32.0), Grant)


def test_late_settlement_of_an_earlier_claimant():
    """A delayed duplicate of "not run" arrives after the key was granted to another claimant.

    It names the earlier claimant, so it must not free the key while the other one runs.
    """
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    assert ledger.settle(make_settle_call(key, Settlement.NOT_RUN), 2.0)
    assert isinstance(ledger.claim(make_claim(key, "b"), 3.0), Grant)
    assert not ledger.settle(make_settle_call(key, Settlement.NOT_RUN), 4.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key, "c"), 5.0))[0] is Kind.KEY_IN_USE


def test_delayed_duplicate_of_an_abandoned_claim():
    """A claim arrives twice, the second time after its sender settled "not run".

    Granting it again would make the key unusable, because no one waits for that grant.
    """
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    ledger.settle(make_settle_call(key, Settlement.NOT_RUN), 2.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key), 3.0)) == (Kind.KEY_IN_USE, Ran.NO)
    assert isinstance(ledger.claim(make_claim(key, "b"), 4.0), Grant)


@pytest.mark.parametrize("later", list(Settlement))
@pytest.mark.parametrize("first", [Settlement.DONE, Settlement.UNKNOWN])
def test_first_settlement_is_final(first, later):
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    ledger.settle(make_settle_call(key, first), 2.0)
    assert ledger.settle(make_settle_call(key, later), 3.0) is (first is later)
    assert not isinstance(ledger.claim(make_claim(key, "b"), 4.0), Grant)


def test_replaced_issuer():
    """The issuer is replaced by a new process with the same name and address.

    The new process does not know the grants of the old one, so it reports an unknown outcome.
    """
    key = issue(make_ledger("i1"))
    result = make_ledger("i2").claim(make_claim(key), 1.0)
    assert get_kind_and_ran(result) == (Kind.KEY_OWNER_LOST, Ran.UNKNOWN)


@pytest.mark.parametrize("change", [{"digest": b"e"}, {"team": "u"}, {"profile": "q"}])
def test_key_of_another_request(change):
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    ledger.settle(make_settle_call(key, Settlement.DONE, recorded=ANSWER), 2.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b", **change), 3.0)) == (
        Kind.KEY_MISMATCH,
        Ran.NO,
    )


def test_binding_outlives_a_run_that_did_not_happen():
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    ledger.settle(make_settle_call(key, Settlement.NOT_RUN), 2.0)
    result = ledger.claim(make_claim(key, "b", digest=b"other"), 3.0)
    assert get_kind_and_ran(result) == (Kind.KEY_MISMATCH, Ran.NO)


@pytest.mark.parametrize("text", ["", "order-17", "k1_h1_i1_0_00_00", "k1_" * 99, "k1_ü_i_0_0_0"])
def test_malformed_keys(text):
    assert get_kind_and_ran(make_ledger().claim(make_claim(text), 1.0)) == (
        Kind.KEY_INVALID,
        Ran.NO,
    )


@given(st.data())
@settings(deadline=None)
def test_forged_keys_are_refused(data):
    ledger = make_ledger()
    key = issue(ledger)
    at = data.draw(st.integers(0, len(key) - 1))
    forged = key[:at] + data.draw(st.characters(exclude_characters=key[at])) + key[at + 1 :]
    with limit_processor_time():
        result = ledger.claim(make_claim(forged), 1.0)
    assert get_kind_and_ran(result)[0] in (Kind.KEY_INVALID, Kind.KEY_OWNER_LOST)
    assert len(ledger) == 0


@given(st.text(max_size=300))
def test_parsed_text_is_canonical(text):
    parsed = ParsedKey.parse(text)
    assert parsed is None or parsed.text == text


def test_non_canonical_spelling_of_a_key():
    """The same bytes in upper case are not the key that the host issued."""
    ledger = make_ledger()
    signed, _, mac = issue(ledger).rpartition("_")
    assert mac.upper() != mac
    result = ledger.claim(make_claim(f"{signed}_{mac.upper()}"), 1.0)
    assert get_kind_and_ran(result)[0] is Kind.KEY_INVALID


def test_expired_keys():
    """An unused key expires a lifetime after issue, a used one a lifetime after its first claim."""
    ledger = make_ledger()
    old, used = ledger.issue([b"a" * 12, b"b" * 12], 0.0)
    ledger.claim(make_claim(used), 99.0)
    ledger.settle(make_settle_call(used, Settlement.DONE, recorded=ANSWER), 99.5)
    assert get_kind_and_ran(ledger.claim(make_claim(old), 100.0)) == (Kind.KEY_EXPIRED, Ran.UNKNOWN)
    assert ledger.claim(make_claim(used, "b"), 198.0) == ANSWER
    assert get_kind_and_ran(ledger.claim(make_claim(used, "b"), 199.0)) == (
        Kind.KEY_EXPIRED,
        Ran.UNKNOWN,
    )
    assert (len(ledger), ledger.recorded_bytes) == (0, 0)


def test_clock_going_backwards():
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 10.0)
    ledger.expire(150.0)
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b"), 11.0))[0] is Kind.KEY_EXPIRED


def test_full_table_refuses_unused_keys_and_keeps_used_ones():
    """More keys are used than fit into the table.

    Unused keys are refused with a retry time, and the request has certainly not run. A used key is
    never evicted, because a repeat with it would run a second time.
    """
    ledger = make_ledger()
    keys = ledger.issue([bytes([n]) * 12 for n in range(5)], 0.0)
    for number, key in enumerate(keys[:4]):
        assert isinstance(ledger.claim(make_claim(key, team=f"t{number}"), 1.0), Grant)
    refused = ledger.claim(make_claim(keys[4]), 1.0)
    assert get_kind_and_ran(refused) == (Kind.OVERLOADED, Ran.NO)
    assert refused.retry_after == 60.0
    assert (
        get_kind_and_ran(ledger.claim(make_claim(keys[0], "b", team="t0"), 1.0))[0]
        is Kind.KEY_IN_USE
    )


def test_team_share_of_the_table_is_bounded():
    """One team uses an unlimited number of keys; other teams must still get their grants."""
    ledger = make_ledger()
    keys = ledger.issue([bytes([n]) * 12 for n in range(4)], 0.0)
    for key in keys[:2]:
        assert isinstance(ledger.claim(make_claim(key), 1.0), Grant)
    refused = ledger.claim(make_claim(keys[2]), 1.0)
    assert get_kind_and_ran(refused) == (Kind.TEAM_LIMIT, Ran.NO)
    assert refused.retry_after > 0
    assert isinstance(ledger.claim(make_claim(keys[3], team="u"), 1.0), Grant)
    ledger.expire(102.0)
    (key,) = ledger.issue([b"z" * 12], 102.0)
    assert isinstance(ledger.claim(make_claim(key), 102.0), Grant)


def test_old_recorded_answers_are_evicted():
    ledger = make_ledger(limits=LIMITS._replace(keys=8))
    keys = ledger.issue([bytes([n]) * 12 for n in range(3)], 0.0)
    for key in keys:
        ledger.claim(make_claim(key), 1.0)
        answer = Recorded(200, "", b"x" * 50)
        ledger.settle(make_settle_call(key, Settlement.DONE, recorded=answer), 1.0)
    assert ledger.recorded_bytes == 100
    assert get_kind_and_ran(ledger.claim(make_claim(keys[0], "b"), 2.0)) == (
        Kind.ANSWER_GONE,
        Ran.YES,
    )
    assert isinstance(ledger.claim(make_claim(keys[2], "b"), 2.0), Recorded)


def test_answer_too_large_to_record():
    ledger = make_ledger()
    key = issue(ledger)
    ledger.claim(make_claim(key), 1.0)
    ledger.settle(
        make_settle_call(key, Settlement.DONE, recorded=Recorded(200, "", b"x" * 61)), 1.0
    )
    assert get_kind_and_ran(ledger.claim(make_claim(key, "b"), 2.0)) == (Kind.ANSWER_GONE, Ran.YES)


def test_claim_after_the_deadline():
    ledger = make_ledger()
    assert get_kind_and_ran(ledger.claim(make_claim(issue(ledger), left_s=0.0), 1.0)) == (
        Kind.DEADLINE,
        Ran.NO,
    )


def test_leaving_issuer():
    """A leaving host issues no keys, but still answers claims of keys that callers have."""
    ledger = make_ledger()
    key = issue(ledger)
    ledger.leaving = True
    assert get_kind_and_ran(ledger.issue([b"m" * 12], 1.0)) == (Kind.LEAVING, Ran.NO)
    assert isinstance(ledger.claim(make_claim(key), 1.0), Grant)


def test_digest_separates_its_parts():
    assert compute_content_digest("POST", "/a", b"b") != compute_content_digest("POST", "/", b"ab")


def test_leaving_issuer_stays_for_unused_keys_and_grants():
    """A leaving host has just issued a key, and one of its grants is in use elsewhere.

    If it stopped at once, the first request with the key would be answered with "unknown", and so
    would a repeat of the granted run. A killed grantee delays it until its request's deadline only.
    """
    ledger = make_ledger()
    assert not ledger.is_needed(0.0, 30.0)
    first, second = ledger.issue([b"a" * 12, b"b" * 12], 1.0)
    assert ledger.is_needed(30.9, 30.0)
    assert not ledger.is_needed(31.0, 30.0)
    ledger.claim(make_claim(first), 32.0)
    ledger.claim(make_claim(second, "b", left_s=20.0), 32.0)
    ledger.settle(make_settle_call(first, Settlement.DONE), 33.0)
    assert ledger.outstanding == 1
    assert ledger.is_needed(52.9, 0.0)
    assert not ledger.is_needed(53.0, 0.0)
    ledger.settle(make_settle_call(second, Settlement.NOT_RUN, "b"), 54.0)
    assert ledger.outstanding == 0
