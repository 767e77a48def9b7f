"""Upper bounds of the daemons' shares, kept in the replicated log.

When a leader and a daemon fail together, the next leader can't ask how much
of each limit the daemon has in use. So a bound for each share is committed to
the log before the daemon may use the share. Bounds are rounded up to a power
of two, so that most changes of a share need no entry.
"""

import asyncio
import collections
import collections.abc

from absl import logging

from bergamotsail import catalogue
from bergamotsail.control import _messages
from bergamotsail import wire

# Longest time that a heartbeat waits for its shares to be committed; after
# that a later heartbeat gets them.
COMMIT_TIMEOUT_S = 0.2
# A bound is lowered once the daemon holds a quarter of it or less.
LOWER_FACTOR = 4

Propose = collections.abc.Callable[
    [catalogue.Command], collections.abc.Awaitable[object]
]


class ShareBounds:
    """Maintains the bounds of shares in the log during one term.

    Args:
        committed: returns the committed bounds, by boot.
        propose: commits a command.
    """

    def __init__(
        self,
        committed: collections.abc.Callable[[], dict[str, catalogue.Sharer]],
        propose: Propose,
    ) -> None:
        self._committed = committed
        self._propose = propose
        # Entries proposed but not known to be committed; any may take effect.
        self._pending_by_boot: dict[str, list[catalogue.Sharer]] = (
            collections.defaultdict(list)
        )
        self._gone: set[str] = set()

    def has_bounds(self, boot: str) -> bool:
        """Whether the log has bounds for a daemon, so it may hold shares."""
        return boot in self._committed() and boot not in self._gone

    def max_share(self, boot: str, key: str) -> int:
        """Return how much a daemon may hold, whichever entry takes effect."""
        if not self.has_bounds(boot):
            return 0
        entries = [self._committed()[boot], *self._pending_by_boot[boot]]
        return min(entry.most_by_key.get(key, 0) for entry in entries)

    async def ensure_covered(
        self,
        daemon: _messages.DaemonInfo,
        runs_last_s: float,
        held_by_key: collections.abc.Mapping[str, int],
    ) -> None:
        """Raise the committed bounds unless they cover these shares.

        Args:
            runs_last_s: bound for the time the daemon's runs take.
        """
        boot = daemon.boot
        known = self._committed().get(boot)
        duration_covered = (
            known is not None and known.runs_last_s >= runs_last_s
        )
        shares_covered = all(
            self.max_share(boot, key) >= held
            for key, held in held_by_key.items()
        )
        if duration_covered and shares_covered:
            return
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT_S):
                await self._commit_bounds(
                    [_sharer(daemon, runs_last_s, held_by_key)]
                )
        except (wire.ServingError, TimeoutError) as error:
            logging.info(
                "control: Shares of %s are not committed yet. %r", boot, error
            )

    async def lower(
        self,
        held: collections.abc.Iterable[
            tuple[_messages.DaemonInfo, collections.abc.Mapping[str, int]]
        ],
    ) -> None:
        """Lower the bounds of daemons that hold far less."""
        lowered = []
        for daemon, held_by_key in held:
            known = self._committed().get(daemon.boot)
            if known is None or self._pending_by_boot[daemon.boot]:
                continue
            if any(
                held_by_key.get(key, 0) * LOWER_FACTOR <= max_share
                for key, max_share in known.most_by_key.items()
            ):
                sharer = _sharer(daemon, known.runs_last_s, held_by_key)
                lowered.append(sharer)
        if lowered:
            await self._commit_bounds(lowered)

    async def remove(self, boots: set[str]) -> None:
        """Remove the bounds of daemons that hold nothing any more.

        A daemon that returns meanwhile is granted nothing until its bounds
        are committed again.
        """
        change = catalogue.NoteSharers(gone=tuple(sorted(boots)))
        self._gone = boots
        try:
            await self._propose(catalogue.Command(note_sharers=change))
        finally:
            self._gone = set()

    async def _commit_bounds(self, sharers: list[catalogue.Sharer]) -> None:
        for sharer in sharers:
            self._pending_by_boot[sharer.boot].append(sharer)
        change = catalogue.NoteSharers(sharers=tuple(sharers))
        commit = asyncio.ensure_future(
            self._propose(catalogue.Command(note_sharers=change))
        )
        commit.add_done_callback(
            lambda done: self._on_committed(sharers, done)
        )
        await asyncio.shield(commit)

    def _on_committed(
        self, sharers: list[catalogue.Sharer], commit: asyncio.Future
    ) -> None:
        if commit.cancelled() or commit.exception() is not None:
            # The entry may still be committed, so it stays pending for the
            # rest of this term.
            logging.info(
                "control: Commit of shares of %d daemons is uncertain.",
                len(sharers),
            )
            return
        for sharer in sharers:
            self._pending_by_boot[sharer.boot].remove(sharer)


def _sharer(
    daemon: _messages.DaemonInfo,
    runs_last_s: float,
    held_by_key: collections.abc.Mapping[str, int],
) -> catalogue.Sharer:
    """Return bounds of these shares, rounded up to powers of two."""
    most_by_key = {
        key: 1 << (held - 1).bit_length()
        for key, held in held_by_key.items()
        if held > 0
    }
    return catalogue.Sharer(
        daemon.boot, daemon.address, runs_last_s, most_by_key
    )
