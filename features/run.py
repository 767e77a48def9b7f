"""Runs behave and ends with a line of the numbers passed and failed.

Tests listed in KNOWN-RED.txt, one per line as ``name | cause | issue``, may
fail and are printed. The run fails if any other test fails, if the list has
more than MAX_KNOWN_RED entries, or if no scenario was found.
"""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MAX_KNOWN_RED = 5
SLOWEST_COUNT = 10
FOLDERS = [[str(ROOT / "features")], [str(ROOT / "platform" / "features")]]


def known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test name."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.partition("|")[0].strip(): line
        for line in lines
        if line.strip() and not line.startswith("#")
    }


def run_folder(arguments: list[str]) -> tuple[bool, list]:
    """Run the features of one folder.

    Returns:
        Whether the run failed, and all its scenarios.
    """
    from behave import configuration
    from behave import runner

    config = configuration.Configuration(arguments, load_config=False)
    if not config.format:
        config.format = ["progress"]
    run = runner.Runner(config)
    broke = run.run()
    scenarios = [
        s for feature in run.features for s in feature.walk_scenarios()
    ]
    return broke, scenarios


def print_slowest(scenarios: list) -> None:
    """Print the slowest scenarios with their real time in seconds."""
    by_time = sorted(scenarios, key=lambda s: s.duration, reverse=True)
    for scenario in by_time[:SLOWEST_COUNT]:
        print(f"took {scenario.duration:6.1f} s: {scenario.name.strip()}")


def main() -> int:
    """Run all features and return the exit code."""
    folders = [sys.argv[1:]] if sys.argv[1:] else FOLDERS
    broke, scenarios = False, []
    for arguments in folders:
        folder_broke, found = run_folder(arguments)
        broke = broke or folder_broke
        scenarios += found
    passed = [s for s in scenarios if s.status.name == "passed"]
    failed = [
        s for s in scenarios if s.status.name not in ("passed", "skipped")
    ]
    known = known_red()
    unknown = [s for s in failed if s.name.strip() not in known]
    for scenario in failed:
        line = known.get(scenario.name.strip())
        print(f"known red: {line}" if line else f"FAILED: {scenario.name}")
        for step in scenario.all_steps:
            if step.error_message:
                print(f"    {step.name}\n    {step.error_message}")
    print_slowest(scenarios)
    print(f"{len(passed)} passed, {len(failed)} failed")
    if len(known) > MAX_KNOWN_RED or not scenarios:
        return 1
    if failed:
        return 1 if unknown else 0
    return 1 if broke else 0


if __name__ == "__main__":
    sys.exit(main())
