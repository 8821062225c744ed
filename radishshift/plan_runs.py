"""Execution of a plan: try a version, score its answer, accept it or go on."""

from dataclasses import dataclass

import logbook

from radishshift.answers import Answer, AnswerSink
from radishshift.assembly import assemble_answer
from radishshift.attempts import AttemptContext, VersionRun
from radishshift.bills import Bill
from radishshift.cascade import Plan, PlanningContext, PlanStep
from radishshift.configuration import Configuration
from radishshift.errors import (
    DeadlineError,
    EndpointError,
    NoEndpointError,
    RadishshiftError,
)
from radishshift.evidence import Cell
from radishshift.mixing import record_answer_quality
from radishshift.plan_tables import answer_time_bound_s
from radishshift.quality import QualityAccounts
from radishshift.ratings import AnswerToRate, Ratings
from radishshift.requests import ModelRequest
from radishshift.version_choice import check_version

__all__ = ["PlanContext", "PlanRun"]

SCORE_TIMEOUT_S = 1.0

logger = logbook.Logger("plans")


@dataclass(frozen=True, slots=True)
class PlanContext:
    """Components of the host that plans use.

    Parameters
    ----------
    attempts : AttemptContext
        Components that the attempts use.
    configuration : Configuration
    ratings : Ratings
    accounts : QualityAccounts
    """

    attempts: AttemptContext
    configuration: Configuration
    ratings: Ratings
    accounts: QualityAccounts


class PlanRun:
    """Executes the steps of a request's plan.

    An answer is withheld until it has been scored; only the accepted one is sent to
    the caller, or the rejected one if the later steps give none. All attempts are items
    of the same bill.

    Parameters
    ----------
    context : PlanContext
    req : ModelRequest
    planning : PlanningContext
    plan : Plan
    bill : Bill
    answer : Answer
    sink : AnswerSink

    Attributes
    ----------
    steps : tuple of PlanStep
        Steps of the plan; a canary may replace its stable version.
    """

    def __init__(
        self,
        context: PlanContext,
        req: ModelRequest,
        planning: PlanningContext,
        plan: Plan,
        bill: Bill,
        answer: Answer,
        sink: AnswerSink,
    ) -> None:
        self.context = context
        self._clock = context.attempts.clock
        self._evidence = context.attempts.evidence
        self.req = req
        self.planning = planning
        self.plan = plan
        self.steps = plan.steps
        self.bill = bill
        self.answer = answer
        self.sink = sink
        self._score: float | None = None
        self._rejected: VersionRun | None = None
        self._rejected_index = 0

    async def execute(self) -> None:
        """Run the steps until one has given a complete answer."""
        steps = self.steps
        for step_index, step in enumerate(steps):
            check_version(self.context.configuration.catalogue, step.version.name)
            last = step_index == len(steps) - 1
            run = self._version_run(step, buffered=not last)
            try:
                await run.execute()
            except (EndpointError, NoEndpointError, DeadlineError) as exc:
                if self._clock.now() >= self.req.deadline:
                    raise
                if last:
                    if run.started or self._rejected is None:
                        raise
                    await self._release_rejected(exc)
                    return
                logger.info(
                    "version {} gave no answer, trying the next step: {}",
                    step.version.name,
                    exc.message,
                )
                continue
            if last or await self._is_accepted(run, step):
                if not last:
                    await run.release()
                self._record_expected_quality(run, step_index)
                return
            self._rejected = run
            self._rejected_index = step_index

    async def _release_rejected(self, error: RadishshiftError) -> None:
        """Send the rejected answer, as the versions that were to replace it failed."""
        run = self._rejected
        logger.info(
            "sending the rejected answer of version {}, as no other was given: {}",
            run.version.name,
            error.message,
        )
        await run.release()
        self._record_expected_quality(run, self._rejected_index)

    def _version_run(self, step: PlanStep, buffered: bool) -> VersionRun:
        run = VersionRun(
            self.context.attempts,
            self.req,
            step.version,
            self.bill,
            self.answer,
            self.sink,
            buffered,
        )
        if buffered:
            later_steps = self.steps[self.steps.index(step) + 1 :]
            later_s = sum(
                answer_time_bound_s(item.version, self.planning, self._evidence)
                for item in later_steps
            )
            run.deadline = max(self._clock.now(), self.req.deadline - later_s)
        return run

    async def _is_accepted(self, run: VersionRun, step: PlanStep) -> bool:
        answer_to_rate = self._answer_to_rate(run)
        score = await self.context.ratings.score(answer_to_rate, run.deadline)
        if score is None:
            return False
        self._score = score
        cell = Cell(step.version.name, self.req.task_class.name)
        self._evidence.record_score(cell, score, self._clock.now())
        return score >= step.accept_score

    def _answer_to_rate(self, run: VersionRun) -> AnswerToRate:
        return AnswerToRate(
            request_id=self.req.request_id,
            customer=self.req.contract.customer,
            task_class=self.req.task_class.name,
            version=run.version.name,
            prompt=self.req.body_bytes,
            answer=assemble_answer(run.events, self.req.operation),
        )

    def _record_expected_quality(self, run: VersionRun, step_index: int) -> None:
        """Record the answer's expected quality, and request its score and rating."""
        score = self._score
        if step_index > 0 and self._rejected is None:
            # The earlier steps gave no answer: account for this step alone.
            accounted_index = 0
            plan = Plan((self.plan.steps[step_index],))
        else:
            accounted_index = step_index
            plan = self.plan
        expected = record_answer_quality(
            self.planning,
            plan,
            accounted_index,
            score,
            self._evidence,
            self.context.accounts,
        )
        if self.plan.rate or self.plan.score:
            self.context.attempts.background.run(self._collect_ratings(run, expected))

    async def _collect_ratings(self, run: VersionRun, expected: float) -> None:
        """Request the score and the ratings that the plan asks for.

        If the answer of an earlier step was rejected, that answer is rated too.
        """
        first = self._rejected or run
        score = self._score
        events = getattr(first, "events", b"")
        if score is None and events:
            deadline = self._clock.now() + SCORE_TIMEOUT_S
            score = await self.context.ratings.score(
                self._answer_to_rate(first), deadline
            )
            if score is not None:
                cell = Cell(first.version.name, self.req.task_class.name)
                self._evidence.record_score(cell, score, self._clock.now())
        if not self.plan.rate:
            return
        await self._request_rating(first, "", score, expected if first is run else None)
        if first is not run:
            await self._request_rating(run, first.version.name, None, expected)

    async def _request_rating(
        self,
        run: VersionRun,
        rejected_version: str,
        score: float | None,
        expected: float | None,
    ) -> None:
        class_name = self.req.task_class.name
        cell = Cell(run.version.name, class_name, rejected_version)
        guard = self.context.attempts.guard

        def record(rating: float) -> None:
            self._evidence.record_rating(cell, rating, score, self._clock.now())
            if guard is not None and not self.req.session_token:
                guard.pool.record_rating(run.version.name, rating)
            if expected is not None and not self.plan.explores:
                self.context.accounts.record_rating_excess(
                    class_name, rating - expected
                )

        await self.context.ratings.request_rating(self._answer_to_rate(run), record)
