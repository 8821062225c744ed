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
    """Target and retry that are held for a job while its present attempt goes on.

    Attributes
    ----------
    retry_acquired_at : float
    version : str
        Version that the job was to run on before the target was chosen.
    """

    job: Job
    target: Target
    retry_acquired_at: float
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
    unreachable : callable
        Tells whether an endpoint could not be reached of late.
    """

    def __init__(
        self,
        clock: Clock,
        placement: Placement,
        choose_target: Callable[[Job, str], Awaitable[Target]],
        check_before_attempt: Callable[[Job], None],
        budget: Callable[[str], HostRetryBudget],
        unreachable: Callable[[Member], bool],
    ) -> None:
        self._clock = clock
        self._placement = placement
        self._choose_target = choose_target
        self._check_before_attempt = check_before_attempt
        self._budget = budget
        self._unreachable = unreachable

    async def hold(self, attempt: Attempt, elsewhere: bool) -> HeldTarget | None:
        """Hold what another attempt needs, None if there is nothing better.

        Parameters
        ----------
        attempt : Attempt
            The running one.
        elsewhere : bool
            Whether the other is worth it only at another endpoint that can be reached,
            on the same version. Otherwise anything that can be had is better.
        """
        with attempt.job.avoiding(attempt.member.name, attempt.helper):
            held = await self.hold_for_model(attempt, attempt.model)
        if held is not None and elsewhere and not self._is_better(held, attempt):
            self.release(held)
            self._keep(attempt, NoEndpointError("no other endpoint can be reached"))
            return None
        return held

    async def hold_for_model(self, attempt: Attempt, model: str) -> HeldTarget | None:
        """Hold what an attempt with another model needs, at whichever endpoint.

        The retry is acquired first, so that no more permits are asked for than can be
        used.
        """
        job = attempt.job
        now = self._clock.now()
        if now < attempt.kept_until or not self._budget(job.service).try_acquire(now):
            return None
        version = job.version
        try:
            self._check_before_attempt(job)
            target = await self._choose_target(job, model)
        except (DeadlineError, NoEndpointError, PoisonSuspectError) as exc:
            job.version = version
            self._budget(job.service).give_back(now)
            self._keep(attempt, exc)
            return None
        except BaseException:
            self._budget(job.service).give_back(now)
            raise
        return HeldTarget(job, target, now, version)

    def _is_better(self, held: HeldTarget, attempt: Attempt) -> bool:
        """Return whether a target is worth leaving an attempt that may go on."""
        target = held.target
        if not isinstance(target, Member):
            return target.host != attempt.helper
        return (
            target.incarnation != attempt.member.incarnation
            and held.job.version == held.version
            and not self._unreachable(target)
        )

    def commit(self, held: HeldTarget) -> bool:
        """Leave a target to the job's next attempt, which is to follow at once.

        Returns
        -------
        bool
            Whether the job may still be sent; if not, what was held is given back.
        """
        job = held.job
        budget = self._budget(job.service)
        # The retry counts from the instant at which it is sent.
        budget.give_back(held.retry_acquired_at)
        try:
            self._check_before_attempt(job)  # the choice of the target takes time
        except (DeadlineError, PoisonSuspectError):
            self._release_target(held)
            return False
        if not budget.try_acquire(self._clock.now()):
            self._release_target(held)
            return False
        job.held_target = held.target
        return True

    def release(self, held: HeldTarget) -> None:
        """Give back what no attempt is made with."""
        self._budget(held.job.service).give_back(held.retry_acquired_at)
        self._release_target(held)

    def _release_target(self, held: HeldTarget) -> None:
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
