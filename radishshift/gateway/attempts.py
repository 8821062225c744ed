"""Attempts at endpoints and their timeouts for silence."""

from collections.abc import Iterator
from dataclasses import dataclass

from radishshift.decisions.patience import patience_s
from radishshift.decisions.placing import EndpointView
from radishshift.gateway.deployment import Member, RouteKind
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import EndpointAnswer

__all__ = ["PROBE_AFTER_S", "Attempt"]

SILENCE_TIMEOUT_S = 0.8  # time without data on any connection to a plain service
SILENCE_TIMEOUT_SHARE = 0.3  # of the attempt's time to the deadline, if less
# After this time without a byte from an engine, its host is probed. Including the probe
# and the wait for another endpoint's first event, a stream then pauses for less than
# 1.2 s, from which on it counts as late.
PROBE_AFTER_S = 0.4
STREAM_STALL_TIMEOUT_S = 1.0  # for one stream while others on its endpoint progress
# For all streams of a reachable engine: prefill of several long prompts between two
# tokens takes up to this long.
ENGINE_STALL_TIMEOUT_S = 2.0
COMPLETE_ANSWER_TIMEOUT_SHARE = 0.4  # of the attempt's time to the deadline
# Six times what a typical engine takes, as large models are slower.
PREFILL_S_PER_TOKEN = 0.0001
FIRST_EVENT_TIMEOUT_S = 1.0  # on top of the expected time to the first event
FIRST_EVENT_TIMEOUT_RATIO = 4.0  # of the mean time to the first event


@dataclass(slots=True)
class Attempt:
    """An attempt that is running or has ended.

    Attributes
    ----------
    member : Member
        The endpoint, or the peer that relays the attempt until it names the endpoint.
    view : EndpointView
        What this host knows of the way to the endpoint or to the peer.
    began_at : float
    first_at_endpoint : bool
        Whether the request had no earlier attempt at the endpoint.
    answer : EndpointAnswer or None
        Set once the status and headers have been received.
    answered_at : float
        Instant at which the status and headers were received.
    body_began : bool
        Whether bytes of the answer's body have been received.
    may_retry : bool
        Whether another attempt may follow. It is given up for silence only then, as a
        silent endpoint is better than none.
    sound : bool
        Whether the answer went on for so long that no part of the prompt crashes
        endpoints.
    helper : str
        Peer that relays the attempt, or empty.
    for_peer : bool
        Whether it is made for a peer, which decides on further attempts.
    kept_until : float
        Instant until which it goes on in any case, as nothing could replace it; 0 if
        nothing was sought yet.
    """

    job: Job
    member: Member
    view: EndpointView
    model: str
    began_at: float
    first_at_endpoint: bool = True
    answer: EndpointAnswer | None = None
    answered_at: float = 0.0
    body_began: bool = False
    may_retry: bool = False
    sound: bool = False
    last_byte_at: float = 0.0
    mean_first_event_s: float = 0.0
    prefill_ktokens: float = 0.0
    helper: str = ""
    for_peer: bool = False
    kept_until: float = 0.0

    @property
    def silence_timeout_s(self) -> float:
        """Return the time without data after which the endpoint counts as silent."""
        if self.job.route.kind is RouteKind.STREAM:
            return PROBE_AFTER_S
        return min(
            SILENCE_TIMEOUT_S,
            SILENCE_TIMEOUT_SHARE * (self.job.deadline - self.began_at),
        )

    @property
    def stall_timeout_s(self) -> float:
        """Return the time without data after which no head of an answer is awaited."""
        if self.job.route.kind is not RouteKind.STREAM:
            return COMPLETE_ANSWER_TIMEOUT_SHARE * (self.job.deadline - self.began_at)
        expected_s = FIRST_EVENT_TIMEOUT_RATIO * self.mean_first_event_s
        return FIRST_EVENT_TIMEOUT_S + self._prefill_s + expected_s

    def silences(self, now: float) -> Iterator[tuple[float, float]]:
        """Yield times without data, each with the timeout that applies to it.

        An endpoint that has stood still goes on with one stream after the other, so the
        progress of others counts only from then on.
        """
        silent_s = now - self.last_byte_at
        if self.answer is None or self.job.route.kind is not RouteKind.STREAM:
            yield silent_s, self.stall_timeout_s
            return
        if self.helper:
            # The peer relays other streams from other endpoints.
            yield silent_s, ENGINE_STALL_TIMEOUT_S
            return
        view = self.view
        since = max(self.last_byte_at, view.went_on_at)
        yield view.last_byte_at - since, STREAM_STALL_TIMEOUT_S
        yield now - max(self.last_byte_at, view.last_byte_at), ENGINE_STALL_TIMEOUT_S
        yield silent_s, STREAM_STALL_TIMEOUT_S + ENGINE_STALL_TIMEOUT_S

    @property
    def patience_s(self) -> float:
        """Return the time after which a further attempt may yet be in time."""
        objective_at = self.job.req.received_at + self.job.route.objective_s
        return patience_s(
            self.mean_first_event_s, objective_at - self.began_at, self.stall_timeout_s
        )

    @property
    def _prefill_s(self) -> float:
        """Return the time that prefill of the prompt may take."""
        return PREFILL_S_PER_TOKEN * self.job.req.prompt_tokens

    def record_bytes(self, now: float) -> None:
        """Record that data was received from the endpoint."""
        self.last_byte_at = now
        self.view.record_byte(now)
