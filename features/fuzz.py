"""Fuzzes with random seeds for a given time.

Prints the command that replays a failure.
"""

import random
import sys
import time

from absl import app
from absl import flags
from absl import logging

from features.support import fuzz

_SECONDS = flags.DEFINE_float("seconds", 300.0, "How long to run, in seconds.")
_COUNT = flags.DEFINE_integer("count", 20, "Number of histories per seed.")
_SEED = flags.DEFINE_integer("seed", None, "Run only this seed.")


def _main(_: list[str]) -> None:
    logging.set_verbosity(logging.FATAL)
    deadline = time.monotonic() + _SECONDS.value
    tried = 0
    while time.monotonic() < deadline:
        seed = _SEED.value
        if seed is None:
            seed = random.randrange(1_000_000)
        for machine in ("system", *fuzz.MACHINES):
            fault = fuzz.run(machine, _COUNT.value, seed)
            tried += _COUNT.value
            if fault is not None:
                print(f"{machine}: {fault}")
                print(f"Replay: make fuzz FLAGS='--seed {seed}'")
                sys.exit(1)
        if _SEED.value is not None:
            break
    print(f"{tried} histories, no violations.")


if __name__ == "__main__":
    app.run(_main)
