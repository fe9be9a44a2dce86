#!/usr/bin/env bash
# Builds what the cases 6 to 10 need besides the build of the deploy file. Their stand-ins are Python scripts, so this
# only checks that they can be compiled.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONPYCACHEPREFIX="$(mktemp -d)" python3 -m compileall -q common-2 [6-9] 10
