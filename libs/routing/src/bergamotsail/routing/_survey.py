"""Placement from the engines' own reports while there is no leader."""

import asyncio
import collections
import collections.abc
import random

from absl import logging

from bergamotsail import control
from bergamotsail import observe
from bergamotsail import placement
from bergamotsail import targets
from bergamotsail import wire

GetReport = collections.abc.Callable[
    [control.TargetInfo],
    collections.abc.Awaitable[targets.AdapterReport],
]
# A daemon has little processor time, so it reads few reports at a time.
MAX_CONCURRENT_REPORTS = 8


class Survey:
    """Collects a report from each engine, once per loss of the leader.

    Without a leader no adapter is loaded or evicted, so a report stays
    valid until the engine restarts, and an engine refuses requests for what
    it does not hold. Cached placements are no substitute: with many daemons
    each one has been granted only a few.

    Args:
        ask: gets the report of a target.
        rng: randomizes choices so that daemons don't all pick the same
            target.
    """

    def __init__(self, ask: GetReport, rng: random.Random) -> None:
        self._ask = ask
        self._rng = rng
        self._asked: set[str] = set()
        self._report_by_target: dict[str, targets.AdapterReport] = {}
        self._placed_by_target: collections.Counter[str] = (
            collections.Counter()
        )

    def clear(self) -> None:
        """Discard all reports; they are valid for one loss of the leader."""
        if self._asked:
            self._asked.clear()
            self._report_by_target.clear()
            self._placed_by_target.clear()

    def discard(self, target: str) -> None:
        """Discard the report of a target that lacks a reported adapter."""
        self._report_by_target.pop(target, None)

    def unasked(
        self,
        pool: str,
        known: collections.abc.Iterable[control.TargetInfo],
    ) -> list[control.TargetInfo]:
        """Return the targets of a pool that have not been asked yet.

        Args:
            known: targets that accept work.
        """
        return [
            info
            for info in known
            if info.pool == pool and info.id not in self._asked
        ]

    async def collect(self, infos: list[control.TargetInfo]) -> None:
        """Collect reports from these targets, a few at a time."""
        self._asked.update(info.id for info in infos)
        self._rng.shuffle(infos)
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_REPORTS)
        await asyncio.gather(
            *(self._collect_report(info, semaphore) for info in infos)
        )
        observe.log_event(
            "route",
            "survey",
            asked=len(infos),
            told=len(self._report_by_target),
        )

    async def _collect_report(
        self, info: control.TargetInfo, semaphore: asyncio.Semaphore
    ) -> None:
        async with semaphore:
            try:
                report = await self._ask(info)
            except wire.ServingError as error:
                logging.debug(
                    "survey: No report from %s: %s", info.id, error.message
                )
                return
        if info.id in self._asked:
            self._report_by_target[info.id] = report

    def newest_version(self, model: str, adapter: str) -> int | None:
        """Return the newest version of an adapter in any report."""
        return max(
            (
                held.version
                for report in self._report_by_target.values()
                for held in report.adapters
                if (held.model, held.adapter) == (model, adapter)
                and held.version is not None
            ),
            default=None,
        )

    def choose(
        self,
        request: placement.PlaceRequest,
        known: collections.abc.Mapping[str, control.TargetInfo],
        min_version: int | None,
        daemons: int,
    ) -> placement.PlaceReply | None:
        """Return the least loaded target that holds the requested model.

        Args:
            known: targets that accept work, by id.
            min_version: the minimum version of the adapter, None for any.
            daemons: the number of daemons; each is assumed to have placed
                as many requests on a target as this one.
        """
        best: tuple[float, control.TargetInfo, int | None] | None = None
        for target, report in self._report_by_target.items():
            info = known.get(target)
            if info is None or target in request.avoid:
                continue
            if request.software not in (None, info.software):
                continue
            holds, version = _find_held(request, report, min_version)
            if not holds:
                continue
            load = (
                report.running
                + report.queued
                + self._placed_by_target[target] * daemons
                + self._rng.random()
            )
            if best is None or load < best[0]:
                best = (load, info, version)
        if best is None:
            return None
        _, info, version = best
        self._placed_by_target[info.id] += 1
        return placement.PlaceReply(
            info.id, info.address, version, 0.0, "surveyed", info.software
        )


def _find_held(
    request: placement.PlaceRequest,
    report: targets.AdapterReport,
    min_version: int | None,
) -> tuple[bool, int | None]:
    """Return whether an engine holds the model, and the adapter version."""
    if not request.adapter:
        return request.model in report.models, None
    for held in report.adapters:
        if (held.model, held.adapter) == (request.model, request.adapter):
            new_enough = (
                min_version is None or (held.version or 0) >= min_version
            )
            return new_enough, held.version
    return False, None
