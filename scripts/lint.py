#!/usr/bin/env python3
"""Runs clang-tidy over C++ sources and remembers which of them were clean.

    scripts/lint.py [--build FOLDER] SOURCE...

A source is skipped if it was clean before with the same inputs: the contents of
every file that its translation unit reads, system headers included, its compile
command, the .clang-tidy file, and the versions of the tools. File contents are
compared and not preprocessed text, since clang-tidy also reads what
preprocessing removes: suppressing comments and macro definitions. Only clean
results are kept, so that a finding is reported on every run.

The cache is the folder $JUJUBE_LINT_CACHE, by default ~/.cache/jujube-lint. It
holds empty files whose names are digests; it may be deleted at any time, and
JUJUBE_LINT_CACHE=off lints everything. Paths are taken relative to the
repository, so that all checkouts share the cache. Exit status: 0 if all sources
are clean, 1 if not, 2 for usage.
"""
import argparse
import concurrent.futures
import functools
import hashlib
import json
import os
import pathlib
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TIDY = "clang-tidy"
# Lists the files that a translation unit reads. Must be of the version of TIDY.
COMPILER = "clang++-14"
# A version of the cache's contents; increased when their meaning changes.
FORMAT = b"1"


def output(*command):
    return subprocess.run(command, capture_output=True, check=True).stdout


def relative(text):
    """Makes the paths in `text` the same in every checkout."""
    return text.replace(str(ROOT), ".")


@functools.lru_cache(maxsize=None)
def digest_of(path):
    return hashlib.sha256(pathlib.Path(path).read_bytes()).hexdigest()


def compiler_arguments(command):
    """The compile command without the compiler, its output and its input."""
    words = shlex.split(command)[1:]
    kept = []
    skip = False
    for word in words:
        if skip or word in ("-o", "-c"):
            skip = not skip and word == "-o"
            continue
        kept.append(word)
    return kept


def files_read(entry):
    rules = subprocess.run(
        [COMPILER, *compiler_arguments(entry["command"]), "-M", "-MT", "target"],
        cwd=entry["directory"], capture_output=True, check=True, text=True).stdout
    return rules.replace("\\\n", " ").split()[1:]


def cache_key(entry, tools):
    """The digest of all inputs, or None if they can't be listed."""
    try:
        files = files_read(entry)
    except subprocess.CalledProcessError:
        return None
    state = hashlib.sha256(tools)
    state.update(relative(entry["command"]).encode())
    for path in files:
        path = os.path.normpath(os.path.join(entry["directory"], path))
        state.update(f"\0{relative(path)}\0{digest_of(path)}".encode())
    return state.hexdigest()


def lint(source, build, entry, tools, cache):
    """Returns (was cached, exit status, output)."""
    # A source that the build does not compile has no key: clang-tidy infers its
    # compile command from other entries.
    key = cache_key(entry, tools) if cache and entry else None
    if key and (cache / key).exists():
        return True, 0, ""
    run = subprocess.run([TIDY, "--quiet", "-p", str(build), source], cwd=ROOT,
                         capture_output=True, text=True)
    if run.returncode == 0 and key:
        (cache / key).touch()
    return False, run.returncode, run.stdout + run.stderr


def cache_folder():
    name = os.environ.get("JUJUBE_LINT_CACHE")
    if name == "off":
        return None
    folder = pathlib.Path(name) if name else pathlib.Path.home() / ".cache/jujube-lint"
    folder.mkdir(parents=True, exist_ok=True)
    return folder


def main():
    parser = argparse.ArgumentParser(description="Lints C++ sources with a cache.")
    parser.add_argument("--build", default="build", help="folder of the configured build")
    parser.add_argument("sources", nargs="+")
    options = parser.parse_args()
    build = (ROOT / options.build).resolve()
    database = json.loads((build / "compile_commands.json").read_text())
    entries = {os.path.relpath(it["file"], ROOT): it for it in database}
    cache = cache_folder()
    tools = FORMAT + output(TIDY, "--version") + output(COMPILER, "--version") + (
        ROOT / ".clang-tidy").read_bytes()
    cached = failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        runs = {pool.submit(lint, it, build, entries.get(it), tools, cache): it
                for it in options.sources}
        for run in concurrent.futures.as_completed(runs):
            was_cached, status, text = run.result()
            cached += was_cached
            if status != 0:
                failed += 1
                print(f"{runs[run]}: clang-tidy ended with {status}\n{text}", file=sys.stderr)
    print(f"lint: {len(runs)} files, {cached} unchanged since they were clean, "
          f"{failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
