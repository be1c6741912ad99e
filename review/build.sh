#!/usr/bin/env bash
# Checks what the scripts need: the stand-ins are plain Python and are compiled here.
# The build of deploy/system.toml comes first; it fills target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
python3 -m compileall -q review/harness review/[0-9]
PYTHONPATH=target/deps python3 -m cuminhill.cmd.node --help > /dev/null
