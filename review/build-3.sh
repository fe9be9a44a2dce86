#!/usr/bin/env bash
# The stand-ins of the third review's scripts are Python programs, so there is nothing to compile: checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in common-3/*.py 1[1-5]/*.py
do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
