"""A task is an actor: one thread that owns its state and handles typed messages one by one."""

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
    """A thread with an inbox that passes each message to a handler.

    The handler gets the message and a future for the answer, which it completes at once or later.
    `tick` is called after each message, and once in each period without a message.
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
        """Stop the thread once it has handled the messages that are in the inbox now."""
        self._inbox.put(None)
        self._thread.join(timeout_s)

    def send(self, message: Any) -> Future[Any]:
        """Put a message in the inbox and return the future of its answer."""
        answer: Future[Any] = Future()
        self._inbox.put(_Envelope(message, answer))
        return answer

    def ask(self, message: Any, timeout_s: float | None = None) -> Any:
        """Send a message and wait for its answer; raise TimeoutError if it does not arrive."""
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
