"""A task: one thread that owns its state and answers typed messages, one after the other."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple

log = logging.getLogger(__name__)


class _Envelope(NamedTuple):
    message: Any
    answer: Future[Any]


class Task:
    """Own a thread and an inbox; hand each message to a handler and its answer to the sender.

    The handler gets the message and a future, and completes the future now or later. `tick` is
    called between messages, at least once in each period.
    """

    def __init__(
        self,
        name: str,
        handle: Callable[[Any, Future[Any]], None],
        tick: Callable[[], None] | None = None,
        period_s: float = 0.05,
    ) -> None:
        self._handle = handle
        self._tick = tick
        self._period_s = period_s
        self._inbox: SimpleQueue[_Envelope | None] = SimpleQueue()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the thread after the messages that are in the inbox now."""
        self._inbox.put(None)
        self._thread.join(timeout_s)

    def send(self, message: Any) -> Future[Any]:
        """Put a message in the inbox and give the future of its answer."""
        answer: Future[Any] = Future()
        self._inbox.put(_Envelope(message, answer))
        return answer

    def ask(self, message: Any, timeout_s: float | None = None) -> Any:
        """Send a message and wait for its answer; raise TimeoutError when none comes."""
        return self.send(message).result(timeout_s)

    def _run(self) -> None:
        while True:
            try:
                envelope = self._inbox.get(timeout=self._period_s)
            except Empty:
                self._safely_tick()
                continue
            if envelope is None:
                return
            self._safely_handle(envelope)
            self._safely_tick()

    def _safely_handle(self, envelope: _Envelope) -> None:
        try:
            self._handle(envelope.message, envelope.answer)
        except Exception as error:
            log.exception("a message could not be handled")
            if not envelope.answer.done():
                envelope.answer.set_exception(error)

    def _safely_tick(self) -> None:
        if self._tick is None:
            return
        try:
            self._tick()
        except Exception:
            log.exception("a periodic step failed")
