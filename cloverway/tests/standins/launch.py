"""Run a module as a program that the kernel kills when its parent process dies.

A killed test run can't stop its daemons itself, so they would keep running without this.
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
