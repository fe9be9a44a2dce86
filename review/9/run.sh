#!/usr/bin/env bash
# Plays the case; with TROUBLE=0 the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
export TROUBLE="${TROUBLE:-1}"
PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
