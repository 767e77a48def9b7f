"""A weighted fair queue of waiting jobs."""

import collections
import collections.abc

from bergamotsail.placement import _jobs


class FairQueue:
    """Weighted fair queueing by member, then by class, then by age.

    Each member has a virtual time that grows by ``1 / weight`` with every
    job taken, and the member with the lowest virtual time is served first.
    After an idle period, a member's virtual time is advanced to the current
    one, so that it gets no credit for the time it was idle.
    """

    def __init__(self) -> None:
        self._jobs_by_member: dict[str, list[_jobs.Job]] = (
            collections.defaultdict(list)
        )
        self._virtual_time_by_member: dict[str, float] = {}
        self._virtual_now = 0.0

    def __len__(self) -> int:
        return sum(len(jobs) for jobs in self._jobs_by_member.values())

    def __iter__(self) -> collections.abc.Iterator[_jobs.Job]:
        for jobs in list(self._jobs_by_member.values()):
            yield from list(jobs)

    def waiting_of(self, member: str) -> int:
        """Return the number of a member's waiting jobs."""
        return len(self._jobs_by_member.get(member, ()))

    def longest_member(self) -> str:
        """Return the member with the most waiting jobs."""
        return max(
            self._jobs_by_member,
            key=lambda member: len(self._jobs_by_member[member]),
        )

    def newest_of(self, member: str) -> _jobs.Job:
        """Return the latest job of a member."""
        return self._jobs_by_member[member][-1]

    def put(self, job: _jobs.Job) -> None:
        """Add a job."""
        member = job.request.payer
        if not self._jobs_by_member[member]:
            previous = self._virtual_time_by_member.get(member, 0.0)
            self._virtual_time_by_member[member] = max(
                previous, self._virtual_now
            )
        self._jobs_by_member[member].append(job)

    def remove(self, job: _jobs.Job) -> None:
        """Remove a job if it is still waiting."""
        jobs = self._jobs_by_member.get(job.request.payer, [])
        if job in jobs:
            jobs.remove(job)

    def take(
        self,
        can_run: collections.abc.Callable[[_jobs.Job], bool],
        weight_by_member: collections.abc.Mapping[str, float],
    ) -> _jobs.Job | None:
        """Remove and return the next job that can run, if any."""
        members = [m for m, jobs in self._jobs_by_member.items() if jobs]
        members.sort(key=lambda member: self._virtual_time_by_member[member])
        for member in members:
            runnable = [j for j in self._jobs_by_member[member] if can_run(j)]
            if not runnable:
                continue
            job = max(runnable, key=lambda j: (j.class_weight, -j.queued_at))
            self._jobs_by_member[member].remove(job)
            self._virtual_now = self._virtual_time_by_member[member]
            weight = weight_by_member.get(member, 1.0)
            self._virtual_time_by_member[member] += 1.0 / weight
            return job
        return None
