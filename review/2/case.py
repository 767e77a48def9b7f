"""A replica that has to be brought up to large changes never catches up."""

import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))
import world  # noqa: E402

ROUTES = 1400
CHANGES = 105
CATCH_UP_S = 4.0
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def replace_one(w: world.World) -> None:
    """Replace the leader, if there is one, by an empty machine at another address."""
    gone = w.leader() or next(m for m in w.replicas if m.powered)
    w.record(f"platform: {gone.name} is gone for good")
    gone.stop()
    time.sleep(1.0)
    added = w.add_replica()
    w.record(f"platform: {added.name} comes, empty, at {added.ip}")


def main() -> int:
    routes = ROUTES if TROUBLE else 0
    with world.World(HERE, limits_mb={"replica": 296.0}) as w:
        if not w.put_config(w.config(1)) or not w.wait_served():
            return 2
        acknowledged = w.storms(CHANGES, 0.12, routes, 35.0)
        if w.read_config(10.0) != acknowledged:
            return 2
        for _ in range(2):
            for m in w.replicas:
                w.record(
                    f"{m.name}: {m.disk_mb():.0f} MB on its disk, "
                    f"{m.memory_mb():.0f} MB in memory"
                )
            replace_one(w)
            # Three times the time after which a machine counts as caught up.
            time.sleep(3 * CATCH_UP_S)
            read = w.read_config(15.0)
            w.record(f"check: read back {read}, acknowledged {acknowledged}")
            if read != acknowledged:
                break
        kills = {m.name: len(m.memory_kills) for m in w.replicas}
        w.record(f"check: killed for their memory: {kills}")
        for m in w.replicas:
            w.record(f"{m.name}: {m.disk_mb():.0f} MB on its disk")
        often = sum(count >= 3 for count in kills.values())
        w.record(f"check: of 3 in use, ended 3 times or more: {often}")
        return 0 if read == acknowledged and often < 2 else 1


world.exit_with(main)
