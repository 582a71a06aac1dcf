#!/usr/bin/env python3
"""Lists the names that leave the processes, one a line, sorted.

    tests/interface/collect_names.py [--identifiers] > tests/interface/names.txt
    tests/interface/collect_names.py --check tests/interface/names.txt

The names are the identifiers of the schemas (messages, fields, enum values)
and every string literal without a space in the programs' sources: paths,
headers, fields, keys of settings, flags, commands, environment variables,
file names, metric names and their labels, error kinds, parts and fields of
log lines, one-word log texts. Tests are left out, since nothing outside reads
them; the programs of tests/matrix are kept for their flags. --identifiers
lists those of the schemas only. --check exits 1 and prints the names of the
file that the tree no longer has.
"""

import re
import subprocess
import sys
from pathlib import Path

TOKEN = re.compile(
    r"""//[^\n]*|/\*.*?\*/|\#[ \t]*include[^\n]*|'(?:\\.|[^'\\\n])'"""
    r"""|R"(?P<tag>[^()\\\s]{0,16})\((?P<raw>.*?)\)(?P=tag)\""""
    r"""|"(?P<text>(?:\\.|[^"\\\n])*)\"""",
    re.S,
)
IDENTIFIER = re.compile(
    r"^\s*(?:message|enum|oneof|extend)\s+(\w+)"
    r"|^\s*(?:repeated\s+|optional\s+)?(?:[\w.]+|map<[^>]*>)\s+(\w+)\s*=\s*\d+"
    r"|^\s*([A-Z][A-Z0-9_]*)\s*=\s*\d+",
    re.M,
)


def list_files(*patterns):
    out = subprocess.run(
        ["git", "ls-files", *patterns], capture_output=True, text=True, check=True
    )
    return [Path(p) for p in out.stdout.split()]


def is_program(path):
    """Whether a source is part of a program that others call."""
    parts = path.parts
    if "generated" in parts:
        return False
    return "tests" not in parts or parts[:2] == ("tests", "matrix")


def collect_identifiers():
    names = set()
    for path in list_files("*.proto"):
        text = re.sub(r"//[^\n]*", "", path.read_text(encoding="utf-8"))
        for match in IDENTIFIER.finditer(text):
            names.add(next(group for group in match.groups() if group))
    return names


def collect_literals():
    names = set()
    for path in filter(is_program, list_files("*.h", "*.cpp")):
        for match in TOKEN.finditer(path.read_text(encoding="utf-8")):
            text = match["raw"] if match["raw"] is not None else match["text"]
            if text and " " not in text and re.search("[A-Za-z]", text):
                names.add(text)
    return names


def collect_build_names():
    """Programs and options of the build, which deploy files and docs name."""
    names = set()
    for path in list_files("CMakeLists.txt", "*/CMakeLists.txt"):
        text = path.read_text(encoding="utf-8")
        names.update(re.findall(r"waxwingyoke_(?:program|test)\((\S+)", text))
        names.update(re.findall(r"option\((\w+)", text))
    return names


def main():
    names = collect_identifiers()
    if "--identifiers" not in sys.argv:
        names |= collect_literals() | collect_build_names()
    if "--check" in sys.argv:
        path = Path(sys.argv[sys.argv.index("--check") + 1])
        wanted = set(path.read_text(encoding="utf-8").splitlines())
        missing = sorted(wanted - names)
        print("\n".join(missing + [f"{len(wanted)} names, {len(missing)} missing"]))
        return 1 if missing else 0
    print("\n".join(sorted(names)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
