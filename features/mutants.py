"""Runs each mutant and checks that its scenario detects it.

The last line of the output is JSON.
"""

import json
import multiprocessing
import sys

from absl import app
from absl import flags
from absl import logging

from features.support import scenarios

_JOBS = flags.DEFINE_integer("jobs", 7, "Number of processes.")


def _main(_: list[str]) -> None:
    logging.set_verbosity(logging.FATAL)
    with multiprocessing.Pool(_JOBS.value) as pool:
        found = pool.map(scenarios.run_mutant, scenarios.MUTANTS, chunksize=1)
    print(f"{'guarantee':9} {'guard disabled':22} {'scenario':28} result")
    for mutant, faults in zip(scenarios.MUTANTS, found):
        result = "caught" if faults else "NOT CAUGHT"
        print(
            f"{mutant.guarantee:<9} {mutant.name:22} {mutant.scenario:28} "
            f"{result}"
        )
        if faults:
            print(f"          {faults[0][:110]}")
    caught = sum(bool(faults) for faults in found)
    summary = {"mutants": len(found), "caught": caught}
    print(json.dumps(summary))
    sys.exit(0 if caught == len(found) else 1)


if __name__ == "__main__":
    app.run(_main)
