"""Holds what an attempt needs that is to take the place of a running one.

Load pattern: many streams find at the same moment that they should go on elsewhere,
more than the retry budget, permits or endpoints bear. A running attempt is worth more
than one that may not follow, so it is given up only once the target and the retry of
the next one are held.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import logbook

from radishshift.clocks import Clock
from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.errors import (
    DeadlineError,
    NoEndpointError,
    PoisonSuspectError,
    RadishshiftError,
)
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.deployment import Member
from radishshift.gateway.jobs import Job
from radishshift.gateway.placement import Placement
from radishshift.gateway.targets import Target

__all__ = ["HeldTarget", "Replacements"]

# Seeking a target may take messages, and is in vain for a while once it was.
SEEK_INTERVAL_S = 0.5

logger = logbook.Logger("dispatch")


@dataclass(frozen=True, slots=True)
class HeldTarget:
    """Target that is held for a job while its attempt at another one goes on.

    Attributes
    ----------
    version : str
        Version that the job was to run on before the target was chosen.
    """

    job: Job
    target: Target
    version: str


class Replacements:
    """Holds targets and retries for attempts that replace running ones.

    Parameters
    ----------
    clock : Clock
    placement : Placement
    choose_target : callable
        Chooses where the next attempt of a job and a model goes.
    check_before_attempt : callable
        Raises if a job gets no further attempt.
    budget : callable
        Returns the retry budget of a service.
    """

    def __init__(
        self,
        clock: Clock,
        placement: Placement,
        choose_target: Callable[[Job, str], Awaitable[Target]],
        check_before_attempt: Callable[[Job], None],
        budget: Callable[[str], HostRetryBudget],
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._choose_target = choose_target
        self._check_before_attempt = check_before_attempt
        self._budget = budget

    async def hold(self, attempt: Attempt) -> HeldTarget | None:
        """Hold a target other than that of a running attempt, None if there is none."""
        with attempt.job.avoiding(attempt.member.name, attempt.helper):
            return await self.hold_for_model(attempt, attempt.model)

    async def hold_for_model(self, attempt: Attempt, model: str) -> HeldTarget | None:
        """Hold a target, which may be the attempt's own, for another model."""
        job = attempt.job
        version = job.version
        if self._clock.now() < attempt.kept_until:
            return None
        try:
            self._check_before_attempt(job)
            target = await self._choose_target(job, model)
        except (DeadlineError, NoEndpointError, PoisonSuspectError) as exc:
            job.version = version
            self._keep(attempt, exc)
            return None
        return HeldTarget(job, target, version)

    def commit(self, held: HeldTarget) -> bool:
        """Acquire the retry and leave the target to the job's next attempt.

        Without a retry the target is released. The next attempt is to follow before
        anything else runs.

        Returns
        -------
        bool
            Whether the retry was acquired.
        """
        job = held.job
        try:
            self._check_before_attempt(job)  # the choice of the target takes time
        except (DeadlineError, PoisonSuspectError):
            self.release(held)
            return False
        if not self._budget(job.service).try_acquire(self._clock.now()):
            self.release(held)
            return False
        job.held_target = held.target
        return True

    def release(self, held: HeldTarget) -> None:
        """Give a target back that no attempt is sent to."""
        job = held.job
        job.version = held.version
        permits = self._placement.permits
        if permits is not None and isinstance(held.target, Member):
            permits.attempt_ended(held.target, job.attempt_id, refused=False)

    def _keep(self, attempt: Attempt, exc: RadishshiftError) -> None:
        """Keep an attempt for a while, and log the reason the first time."""
        now = self._clock.now()
        known, attempt.kept_until = attempt.kept_until, now + SEEK_INTERVAL_S
        if known:
            return
        logger.info(
            "attempt is kept",
            extra={
                "request_id": attempt.job.req.request_id,
                "endpoint": attempt.member.name,
                "helper": attempt.helper,
                "error": exc.code,
                "reason": exc.message[:200],
                "silent_s": round(now - attempt.last_byte_at, 3),
            },
        )
