#!/usr/bin/env python3
"""Runs clang-tidy on sources, except where nothing that it reads has changed
since it passed.

usage: lint.py JOBS <LIST_OF_SOURCES

Only passes are stored, as empty files named by a digest of everything that
decides the result; see key_of().
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
CACHE = (
    pathlib.Path(os.environ.get("XDG_CACHE_HOME") or "~/.cache").expanduser()
    / "waxwingyoke-lint"
)
TIDY = ["clang-tidy", "-p", "build", "--quiet"]
UNUSED_PASS_DAYS = 30


def run(arguments, directory=ROOT):
    return subprocess.run(
        arguments,
        cwd=directory,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        check=False,
    )


def commands_by_source():
    commands = {}
    for entry in json.loads((BUILD / "compile_commands.json").read_text()):
        commands.setdefault(pathlib.Path(entry["file"]), []).append(entry["command"])
    return commands


def common_key():
    """What decides the result of every source: the tool and its options."""
    parts = [run(["clang-tidy", "--version"]).stdout, repr(TIDY).encode()]
    for config in sorted(ROOT.rglob(".clang-tidy")):
        parts.append(config.read_bytes())
        # The filter sees absolute paths: in some directories it matches all.
        for pattern in re.findall(r"^HeaderFilterRegex: '(.*)'$", config.read_text(), re.M):
            parts.append(repr(bool(re.search(pattern, f"{ROOT}/any.h"))).encode())
    return b"\0".join(parts)


def preprocess(command):
    """The text that clang-tidy reads, or None if it can't be made."""
    arguments = shlex.split(command)
    output = arguments.index("-o")
    del arguments[output : output + 2]
    arguments.remove("-c")
    # clang-tidy defines __clang_analyzer__ as well.
    done = subprocess.run(
        ["clang++", *arguments[1:], "-E", "-D__clang_analyzer__"],
        cwd=BUILD,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        check=False,
    )
    return done.stdout if done.returncode == 0 else None


def own_files(text):
    """The files of this tree that a preprocessed text names."""
    names = {os.fsdecode(name) for name in re.findall(rb'^# \d+ "([^"]+)"', text, re.M)}
    paths = {(BUILD / name).resolve() for name in names if not name.startswith("<")}
    return sorted(path for path in paths if path.is_relative_to(ROOT) and path.is_file())


def key_of(commands, common):
    """A digest of everything that decides the result, independent of where
    the tree lies, and the size of the text; no digest if there is no text."""
    digest = hashlib.sha256(common)
    size = 0

    def add(content):
        content = content.replace(os.fsencode(ROOT), b".")
        digest.update(b"%d\0" % len(content) + content)

    for command in commands:
        text = preprocess(command)
        if text is None:
            return None, size
        size += len(text)
        add(command.encode())
        add(text)
        # Comments (NOLINT) and directives aren't in the preprocessed text.
        for path in own_files(text):
            add(path.read_bytes())
    return (digest.hexdigest() if commands else None), size


def drop_unused_passes():
    oldest = time.time() - UNUSED_PASS_DAYS * 24 * 3600
    for entry in CACHE.iterdir():
        if entry.stat().st_mtime < oldest:
            entry.unlink(missing_ok=True)


def main(jobs, sources):
    CACHE.mkdir(parents=True, exist_ok=True)
    drop_unused_passes()
    commands = commands_by_source()
    common = common_key()

    def find_key(source):
        return (source, *key_of(commands.get(ROOT / source, []), common))

    def lint(source, key):
        done = run([*TIDY, source])
        if done.returncode == 0 and key:
            (CACHE / key).touch()
        return source, done

    failed = 0
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        to_lint = []
        for source, key, size in pool.map(find_key, sources):
            if key and (CACHE / key).exists():
                (CACHE / key).touch()
            else:
                to_lint.append((size, source, key))
        print(f"{len(sources)} sources, {len(to_lint)} to lint", flush=True)
        # The largest first, so that no long one is left at the end.
        to_lint.sort(reverse=True, key=lambda entry: entry[0])
        started = [pool.submit(lint, source, key) for _, source, key in to_lint]
        for future in concurrent.futures.as_completed(started):
            source, done = future.result()
            if done.returncode != 0:
                failed += 1
                print(f"clang-tidy failed on {source}:", flush=True)
                sys.stdout.buffer.write(done.stdout)
                sys.stdout.flush()
    print(f"{len(sources) - failed} sources passed, {failed} failed", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), sys.stdin.read().splitlines()))
