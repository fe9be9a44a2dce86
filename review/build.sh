#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python without packages, so that this compiles them once, as a check.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import glob
for path in sorted(glob.glob("common/*.py") + glob.glob("[1-5]/*.py")):
    with open(path) as file:
        compile(file.read(), path, "exec")
PYTHON
