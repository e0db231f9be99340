"""Thirty settings that are broken on purpose, and the same ones whole: is each found, why, and how soon?

python benchmarks/expect_broken.py
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from tests.broken import BROKEN
from tests.expectation_harness import sources
from tests.test_expect_check import check_result, with_setting


def main():
    found, worst = 0, 0.0
    for name, which, path, value, expected, words in BROKEN:
        whole = check_result(sources(), expected)[0] if expected and name != "a contradiction" else 0
        began = time.monotonic()
        code, reason = check_result(with_setting(which, path, value), expected)
        took = time.monotonic() - began
        good = code != 0 and words in reason
        found, worst = found + good, max(worst, took)
        line = next((one for one in reason.splitlines() if words in one), reason.splitlines()[0])
        print(
            f"{'found' if good else 'MISSED'} {took:5.1f} s, whole: {whole}  {name}: {line.strip()[:150]}",
            flush=True,
        )
    print(f"{found} of {len(BROKEN)} found with their reason, the slowest in {worst:.1f} s")


if __name__ == "__main__":
    main()
