"""A small ledger and calls to it, for tests."""

from __future__ import annotations

from cloverway.once.keys import (
    ClaimCall,
    Ledger,
    LedgerLimits,
    Recorded,
    SettleCall,
)

LIMITS = LedgerLimits(keys=4, lifetime_s=100.0, recorded_bytes=100, recorded_answer_bytes=60)
ANSWER = Recorded(200, "application/json", b'{"ok": true}')
SECRET = b"s" * 32


def make_ledger(incarnation="i1", limits=LIMITS, now=0.0):
    return Ledger("h1", incarnation, SECRET + incarnation.encode(), limits, now)


def issue(ledger, now=0.0, nonce=b"n" * 12):
    (key,) = ledger.issue([nonce], now)
    return key


def make_claim(key, claimant="a", *, digest=b"d", left_s=10.0, team="t", profile="p"):
    return ClaimCall(key, team, profile, digest, claimant, left_s)


def make_settle_call(key, settlement, claimant="a", recorded=None):
    return SettleCall(key, "t", "p", claimant, settlement, recorded)
