"""A bound on the processor time of a test's step, which other processes don't disturb."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator

MAX_EXAMPLE_S = 0.2
"""Processor time allowed for one example of a property."""


@contextlib.contextmanager
def limit_processor_time(seconds: float = MAX_EXAMPLE_S) -> Iterator[None]:
    """Raise AssertionError if the block takes more processor time of this thread."""
    began_at = time.thread_time()
    yield
    took_s = time.thread_time() - began_at
    assert took_s <= seconds, f"took {took_s:.3f} s of processor time, not {seconds:g} s at most"
