#!/usr/bin/env python3
"""Runs clang-tidy on all sources, or on the given files.

A file that passed is checked again only after a change to it, to a header of the project that it includes, to the
configuration or to the linter. Passed checks are recorded in $LINT_CACHE (default ~/.cache/cranberryshunt/lint).
"""

import hashlib
import os
import pathlib
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / os.environ.get("BUILD_DIR", "build")
CACHE = pathlib.Path(os.environ.get("LINT_CACHE", pathlib.Path.home() / ".cache/cranberryshunt/lint"))


def run(*command):
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


def source_files():
    out = run("git", "ls-files", "--cached", "--others", "--exclude-standard", "*.cc").stdout
    return [line for line in out.splitlines() if "generated/" not in line and (ROOT / line).exists()]


def dependencies():
    """Returns, for each source file, the files of the project that its object file depends on."""
    found = {}
    current = []
    for line in run("ninja", "-C", str(BUILD), "-t", "deps").stdout.splitlines():
        if not line.startswith(" "):
            current = []
            continue
        path = (BUILD / line.strip()).resolve()
        if not path.is_relative_to(ROOT):
            continue
        current.append(path)
        if path.suffix == ".cc":
            found[str(path.relative_to(ROOT))] = current
    return found


def cache_key(source, headers, common):
    digest = hashlib.sha256(common)
    for path in sorted({ROOT / source, *headers}):
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes() if path.exists() else b"")
    return digest.hexdigest()


def check(source, headers, common):
    passed = CACHE / cache_key(source, headers, common)
    if passed.exists():
        return True
    result = run("clang-tidy", "-p", str(BUILD), "--quiet", source)
    if result.returncode == 0:
        passed.touch()
        return True
    print(f"lint: {source} failed\n{result.stdout}", flush=True)
    return False


def main():
    CACHE.mkdir(parents=True, exist_ok=True)
    common = run("clang-tidy", "--version").stdout.encode() + (ROOT / ".clang-tidy").read_bytes()
    headers = dependencies()
    jobs = int(os.environ.get("BUILD_JOBS", os.cpu_count() or 1))
    with ThreadPoolExecutor(jobs) as pool:
        results = list(pool.map(lambda it: check(it, headers.get(it, []), common), sys.argv[1:] or source_files()))
    print(f"lint: {results.count(True)} files clean, {results.count(False)} failed")
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
