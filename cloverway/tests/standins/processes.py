"""Child processes of a test, and ports for them."""

from __future__ import annotations

import contextlib
import itertools
import os
import random
import signal
import socket
import subprocess
import sys
from pathlib import Path

from cloverway.tests.standins.waiting import wait_until

ROOT = Path(__file__).resolve().parents[3]
PORTS_PER_BLOCK = 128
"""Ports reserved for one fleet."""
FIRST_PORT, LAST_PORT = 12_000, 32_000
"""Below the range of ephemeral ports that the system assigns."""
LAUNCHER = "cloverway.tests.standins.launch"


class Ports:
    """A block of ports, reserved by listening on its first port until `close`."""

    def __init__(self) -> None:
        self._claim, base = _claim_block()
        self._free = itertools.chain(range(base + 1, base + PORTS_PER_BLOCK))

    def take(self) -> int:
        return next(port for port in self._free if _is_free(port))

    def close(self) -> None:
        self._claim.close()


def _claim_block() -> tuple[socket.socket, int]:
    bases = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_BLOCK))
    random.SystemRandom().shuffle(bases)
    for base in bases:
        claim = socket.socket()
        try:
            claim.bind(("127.0.0.1", base))
            claim.listen(1)
        except OSError:
            claim.close()
            continue
        return claim, base
    raise AssertionError("no block of ports is free")


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Process:
    """A Python program of this source tree whose output is written to a log file."""

    def __init__(
        self,
        name: str,
        module: str,
        arguments: list[str],
        folder: Path,
        variables: dict[str, str] | None = None,
    ) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        self._command = [sys.executable, "-m", LAUNCHER, module, *arguments]
        self._folder = folder
        self._variables = variables or {}
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        environment = {**os.environ, "PYTHONPATH": str(ROOT), "PYTHONUNBUFFERED": "1"}
        environment |= self._variables
        with self.log.open("ab") as output:
            self._process = subprocess.Popen(
                self._command,
                stdout=output,
                stderr=output,
                stdin=subprocess.DEVNULL,
                cwd=self._folder,
                env=environment,
            )

    def send(self, number: int) -> None:
        if self.running:
            os.kill(self.pid, number)

    def pause(self) -> None:
        """Stop the process, and wait until none of its threads runs any more.

        On a busy machine, threads go on for some milliseconds after the signal was sent.
        """
        self.send(signal.SIGSTOP)
        try:
            wait_until(lambda: set(self._read_thread_states()) <= {"T"}, 5, f"{self.name} to stop")
        except AssertionError as error:
            self.send(signal.SIGCONT)
            raise AssertionError(f"{error}; its threads: {self._read_thread_states()}") from error

    def _read_thread_states(self) -> str:
        """Return the kernel's state of each thread, a letter each; T is stopped."""
        states = ""
        for stat in Path(f"/proc/{self.pid}/task").glob("*/stat"):
            with contextlib.suppress(OSError):  # the thread has ended meanwhile
                states += stat.read_text().rpartition(")")[2].split()[0]
        return states

    def kill(self) -> None:
        self.send(signal.SIGKILL)
        self.wait()

    def wait(self, timeout_s: float = 10.0) -> int:
        """Wait until the process has exited and return its exit status."""
        assert self._process is not None
        return self._process.wait(timeout_s)

    def stop(self, timeout_s: float = 3.0) -> None:
        """Stop the process with SIGTERM, and with SIGKILL after the timeout."""
        if not self.running:
            return
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.wait(timeout_s)
        self.kill()

    def tail(self, lines: int = 30) -> str:
        text = self.log.read_text(errors="replace") if self.log.exists() else ""
        return "\n".join(text.splitlines()[-lines:])

    def wait_ready(self, check: object, timeout_s: float) -> None:
        """Wait until `check()` is true; raise AssertionError with its output if it exits."""

        def ready_or_ended() -> bool:
            return not self.running or bool(check())  # type: ignore[operator]

        try:
            wait_until(ready_or_ended, timeout_s, f"{self.name} to be ready")
        except AssertionError as error:
            raise AssertionError(f"{error}\n{self.tail()}") from error
        if not self.running:
            raise AssertionError(f"{self.name} exited with {self.wait()}\n{self.tail()}")
