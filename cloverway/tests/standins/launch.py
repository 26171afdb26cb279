"""Run a module as a program that the kernel ends when the process that started it dies.

A test run that is killed can't clean up; without this its daemons would stay behind.
"""

from __future__ import annotations

import ctypes
import runpy
import signal
import sys

_PR_SET_PDEATHSIG = 1


def main() -> None:
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
    module = sys.argv[1]
    sys.argv = [module, *sys.argv[2:]]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
