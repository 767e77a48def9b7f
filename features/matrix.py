"""Runs the fault matrix and prints a table; the last line is JSON."""

import collections
import json
import multiprocessing
import sys

from absl import app
from absl import flags
from absl import logging

from features.support import matrix

_FULL = flags.DEFINE_bool(
    "full", False, "Run every step at all three moments."
)
_EVERY = flags.DEFINE_integer("every", 1, "Run only every n-th case.")
_ONLY = flags.DEFINE_string(
    "only", "", "Run only cases whose name contains this text."
)
_JOBS = flags.DEFINE_integer("jobs", 7, "Number of processes.")

GUARANTEES = {
    "exact": 1,
    "pinned": 2,
    "own_answer": 3,
    "not_run": 4,
    "at_most_once": 5,
    "leaving": 6,
    "planned_stop": 7,
    "changes": 8,
}


def _print(results: list[matrix.CaseResult]) -> None:
    by_fault = collections.defaultdict(list)
    for result in results:
        by_fault[result.case.fault].append(result)
    print(f"{'fault':24} {'cases':>6} {'passed':>7} {'failed':>7} not run")
    for fault, group in by_fault.items():
        ran = [r for r in group if r.injected]
        failed = [r for r in ran if r.faults]
        print(
            f"{fault:24} {len(group):6} {len(ran) - len(failed):7} "
            f"{len(failed):7} {len(group) - len(ran):7}"
        )
    for result in results:
        for fault in result.faults:
            print(f"FAILED {result.case.name}: {fault}")
    for result in results:
        if not result.injected:
            print(f"NOT RUN {result.case.name}: its step was not reached")


def _main(_: list[str]) -> None:
    logging.set_verbosity(logging.FATAL)
    cases = matrix.all_cases() if _FULL.value else matrix.rotated_cases()
    cases = [c for c in cases if _ONLY.value in c.name][:: _EVERY.value]
    with multiprocessing.Pool(_JOBS.value) as pool:
        results = []
        for result in pool.imap(matrix.run_in_virtual_time, cases):
            results.append(result)
            if sys.stderr.isatty():
                print(f"{len(results)} of {len(cases)}", file=sys.stderr)
    _print(results)
    ran = [r for r in results if r.injected]
    failed = [r for r in ran if r.faults]
    summary = {
        "cases": len(results),
        "passed": len(ran) - len(failed),
        "failed": len(failed),
        "not_run": len(results) - len(ran),
        "by_promise": {name: len(ran) for name in GUARANTEES},
    }
    print(json.dumps(summary))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app.run(_main)
