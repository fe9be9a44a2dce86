#!/usr/bin/env python3
"""Prints each unit and the command that preprocesses it, separated by zero bytes."""

import json
import os
import shlex
import sys


def preprocess_command(command: str) -> str:
    """The compiler call with its output replaced by the preprocessed text."""
    words = shlex.split(command)
    # The launcher comes before the compiler.
    compiler = next(at for at, word in enumerate(words) if os.path.basename(word) in ("c++", "g++", "clang++"))
    kept = []
    skip = False
    for word in words[compiler:]:
        if skip:
            skip = False
        elif word in ("-o", "-MF", "-MT"):
            skip = True
        elif word not in ("-MD", "-c"):
            kept.append(word)
    return shlex.join(kept + ["-E"])


def main() -> None:
    with open(sys.argv[1], encoding="utf-8") as file:
        known = {os.path.realpath(entry["file"]): entry for entry in json.load(file)}
    for unit in sys.argv[2:]:
        entry = known.get(os.path.realpath(unit))
        if entry is None:
            sys.exit(f"lint: {unit} is not part of the build; add it to a CMakeLists.txt")
        sys.stdout.write(f"{unit}\0cd {shlex.quote(entry['directory'])} && {preprocess_command(entry['command'])}\0")


main()
