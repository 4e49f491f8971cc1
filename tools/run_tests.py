#!/usr/bin/env python3
"""Runs the unit tests, the sessions with real processes and a short soak.

Tests that a "test:" line of KNOWN-RED.txt names are run and printed, but do
not count as failures.
"""
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTS = ROOT / "build" / "tests" / "kingcupslip-tests"
SESSIONS = [ROOT / "tests" / "sessions" / "run_sessions.py",
            ROOT / "tests" / "sessions" / "run_platform.py",
            ROOT / "tests" / "soak" / "run_soak.py"]


def known_failures():
    text = (ROOT / "KNOWN-RED.txt").read_text()
    return set(re.findall(r"^test: *(\S+)", text, re.MULTILINE))


def run(command):
    """Returns (name, passed) of each "TEST(group, name)" in the output."""
    result = subprocess.run(command, capture_output=True, text=True,
                            check=False)
    sys.stdout.write(result.stdout)
    sys.stderr.write(result.stderr)
    rows = re.findall(r"^TEST\((\w+), (\w+)\)(.*?)(?= - \d+ ms$)",
                      result.stdout, re.MULTILINE | re.DOTALL)
    verdicts = [(f"{group}.{name}", "Failure in" not in rest)
                for group, name, rest in rows]
    if result.returncode != 0 and all(passed for _, passed in verdicts):
        verdicts.append((str(command[-1]), False))
    return verdicts


def main():
    results = run([str(TESTS), "-v"])
    for program in SESSIONS:
        results += run([sys.executable, str(program)])
    expected_failures = known_failures()
    passed = sum(1 for _, ok in results if ok)
    failed = [name for name, ok in results
              if not ok and name not in expected_failures]
    for name, ok in results:
        if name in expected_failures:
            print(f"known red: {name} {'passed' if ok else 'failed'}")
    for name in failed:
        print(f"failed: {name}")
    print(f"{passed} passed, {len(failed)} failed")
    sys.exit(1 if failed or not results else 0)


if __name__ == "__main__":
    main()
