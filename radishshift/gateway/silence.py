"""Tells when an attempt that receives nothing is to be given up."""

from collections.abc import Callable
from dataclasses import dataclass

from radishshift.clocks import Clock
from radishshift.decisions.event_pauses import EventPauses
from radishshift.decisions.patience import EarlyRetries
from radishshift.decisions.retry_budget import HostRetryBudget
from radishshift.gateway.attempts import PROBE_AFTER_S, Attempt
from radishshift.gateway.connection_prober import ConnectionProber
from radishshift.gateway.deployment import RouteKind

__all__ = ["SilenceWatch", "Stall"]

# Multiplies the stall timeout when no other endpoint is available.
TIMEOUT_FACTOR_WITHOUT_ALTERNATIVE = 4.0
# A peer that relays an attempt notices first that no head of an answer comes.
RELAYED_HEAD_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class Stall:
    """Why an attempt is to be given up.

    Attributes
    ----------
    reason : str
    early : bool
        Whether it isn't overdue, but a further attempt is more likely to be in time.
    elsewhere : bool
        Whether it is given up only for an attempt at another endpoint.
    """

    reason: str
    early: bool = False
    elsewhere: bool = True


class SilenceWatch:
    """Checks attempts for silence, and probes the other side meanwhile.

    Parameters
    ----------
    clock : Clock
    prober : ConnectionProber
    budget : callable
        Returns the retry budget of a service.
    has_alternative : callable
        Tells whether an attempt could be replaced by one that goes another way.
    """

    def __init__(
        self,
        clock: Clock,
        prober: ConnectionProber,
        budget: Callable[[str], HostRetryBudget],
        has_alternative: Callable[[Attempt], bool],
    ) -> None:
        self._clock = clock
        self._prober = prober
        self._budget = budget
        self._has_alternative = has_alternative
        self._early_retries = EarlyRetries()
        self._pauses = EventPauses()

    def stream_went_on(self, attempt: Attempt) -> None:
        """Record how long a stream has paused; called before its bytes are recorded."""
        self._record_pause(attempt, self._clock.now())

    def _record_pause(self, attempt: Attempt, now: float) -> None:
        self._pauses.record(
            attempt.job.service,
            attempt.member.name,
            now - attempt.last_byte_at,
            now,
        )

    def attempt_started(self) -> None:
        """Count an attempt, a share of which may be given up early."""
        self._early_retries.request_received(self._clock.now())

    def stall(self, attempt: Attempt) -> Stall | None:
        """Return why an attempt is to be given up, None if it isn't.

        If the retry budget is spent, the attempt is kept, as it could not be replaced.
        """
        now = self._clock.now()
        if self._may_give_up_early(attempt, now):
            return Stall(
                f"no first event in {now - attempt.began_at:.2f} s, "
                "another attempt may be in time",
                early=True,
            )
        overdue_ratio = self._overdue_ratio(attempt, now)
        if overdue_ratio <= 1 or self._budget(attempt.job.service).available(now) < 1:
            return None
        if overdue_ratio <= (
            1.0
            if self._has_alternative(attempt)
            else TIMEOUT_FACTOR_WITHOUT_ALTERNATIVE
        ):
            return None
        return Stall(
            f"no data received for {now - attempt.last_byte_at:.1f} s",
            elsewhere=overdue_ratio <= TIMEOUT_FACTOR_WITHOUT_ALTERNATIVE,
        )

    def allow(self, stall: Stall) -> bool:
        """Return whether an attempt may be given up now; early ones are bounded."""
        return not stall.early or self._early_retries.try_acquire(self._clock.now())

    def record_given_up(self, attempt: Attempt) -> None:
        """Record the pause of an attempt that is given up for its silence."""
        if attempt.answer is not None:
            self._record_pause(attempt, self._clock.now())

    def _may_give_up_early(self, attempt: Attempt, now: float) -> bool:
        """Return whether a further attempt is more likely to be in time."""
        if (
            attempt.answer is not None
            or attempt.helper
            or attempt.job.route.kind is not RouteKind.STREAM
            or now - attempt.began_at <= attempt.patience_s
            or now - attempt.began_at > attempt.stall_timeout_s
        ):
            return False
        return (
            self._budget(attempt.job.service).available(now) >= 1
            and self._has_alternative(attempt)
            and self._early_retries.available(now) >= 1
        )

    def probe_if_silent(self, attempt: Attempt) -> None:
        """Probe the other side of an attempt that has received nothing for a while."""
        now = self._clock.now()
        view = attempt.view
        quiet_s = _quiet_s(attempt, now)
        since_probe_s = now - max(view.last_reachable_at, view.last_unreachable_at)
        if quiet_s > attempt.silence_timeout_s and since_probe_s > PROBE_AFTER_S:
            self._prober.probe(view)

    def _overdue_ratio(self, attempt: Attempt, now: float) -> float:
        """Return the time without data as a multiple of the silence timeout.

        An engine may prefill long prompts between two tokens. A connection probe
        distinguishes a busy engine, which still accepts connections, from one that is
        down.
        """
        view = attempt.view
        attempt_overdue = max(
            silent_s / self._timeout_s(attempt, usual_s, now)
            for silent_s, usual_s in attempt.silences(now)
        )
        if attempt.helper and attempt.answer is None:
            attempt_overdue /= RELAYED_HEAD_FACTOR
        if attempt.job.route.kind is RouteKind.STREAM:
            self.probe_if_silent(attempt)
            if not view.unreachable or view.last_unreachable_at <= attempt.last_byte_at:
                return attempt_overdue
        return max(attempt_overdue, _quiet_s(attempt, now) / attempt.silence_timeout_s)

    def _timeout_s(self, attempt: Attempt, usual_s: float, now: float) -> float:
        """Return a timeout, which is longer while all endpoints are slow."""
        job = attempt.job
        if attempt.answer is None or job.route.kind is not RouteKind.STREAM:
            return usual_s
        return self._pauses.timeout_s(job.service, attempt.member.name, usual_s, now)


def _quiet_s(attempt: Attempt, now: float) -> float:
    """Return the time since a byte came from the other side of an attempt."""
    return now - max(attempt.view.last_byte_at, attempt.last_byte_at)
