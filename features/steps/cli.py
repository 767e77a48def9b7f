"""Steps for the command line."""

import json
import os
import subprocess
import sys

import behave

from bergamotsail.bench import _system


def _files(context) -> dict[str, str]:
    """Write the files that commands refer to; return their paths by name."""
    folder = context.run.system.folder
    good = {
        "owner": "tahi",
        "pool": "sastre-llm",
        "versions": {"v1": "w"},
        "default_version": "v1",
    }
    lines = [
        json.dumps({"kind": "adapter", "id": f"line-{n}", "value": good})
        for n in range(3)
    ]
    texts = {
        "GOOD": json.dumps(good),
        "BAD": '{"owner": 7}',
        "LINES": "\n".join(lines),
    }
    for name, text in texts.items():
        (folder / name).write_text(text)
    paths = {name: str(folder / name) for name in texts}
    return paths | {"SETTINGS": str(folder / "entry-0.json")}


@behave.then("these commands give these exit codes and this output")
def run_commands(context) -> None:
    files = _files(context)
    addresses = ",".join(context.run.system.addresses)
    wrong = []
    for row in context.table:
        words = row["command"].split()
        for name, path in files.items():
            words = [word.replace(name, path) for word in words]
        if not any(word.startswith("--addresses") for word in words):
            words.append(f"--addresses={addresses}")
        done = subprocess.run(
            [sys.executable, "-m", "bergamotsail.daemon.cli", *words],
            capture_output=True,
            text=True,
            timeout=60,
            stdin=subprocess.DEVNULL,
            env=os.environ | {"BERGAMOTSAIL_TOKEN": _system.OPERATOR_TOKEN},
        )
        output = done.stdout + done.stderr
        if str(done.returncode) != row["code"] or row["output"] not in output:
            wrong.append((row["command"], done.returncode, output[-300:]))
    assert not wrong, wrong
