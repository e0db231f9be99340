"""Measure how many of thirty deliberately broken settings a check finds, with which reason and how fast.

python benchmarks/expect_broken.py

The intact settings are checked with the same expectations; their exit code should be 0.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from tests.broken_settings import BROKEN_SETTINGS
from tests.expectation_harness import sources
from tests.test_expect_check import check_result, with_setting


def main():
    """Check all broken settings and print a line for each."""
    found, slowest = 0, 0.0
    for name, which, path, value, expected, words in BROKEN_SETTINGS:
        intact_code = check_result(sources(), expected)[0] if expected and name != "a contradiction" else 0
        started = time.monotonic()
        code, reason = check_result(with_setting(which, path, value), expected)
        took = time.monotonic() - started
        is_found = code != 0 and words in reason
        found, slowest = found + is_found, max(slowest, took)
        line = next((text for text in reason.splitlines() if words in text), reason.splitlines()[0])
        print(
            f"{'found' if is_found else 'MISSED'} {took:5.1f} s, intact settings: {intact_code}  "
            f"{name}: {line.strip()[:150]}",
            flush=True,
        )
    print(f"{found} of {len(BROKEN_SETTINGS)} found with their reason, the slowest in {slowest:.1f} s")


if __name__ == "__main__":
    main()
