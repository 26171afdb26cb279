#!/usr/bin/env bash
# Build what the scripts of the second review start: their stand-ins need only the interpreter, and
# the hosts need what the build of the deploy file puts below target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PY'
import pathlib

for path in [pathlib.Path("review/standins_2.py"), *pathlib.Path("review").glob("[4-8]/case.py")]:
    compile(path.read_text(), str(path), "exec")
PY
test -d target/deps || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
echo "built"
