"""Attempts at endpoints, and for how long each may hear nothing."""

from dataclasses import dataclass

from radishshift.decisions.placing import EndpointView
from radishshift.gateway.deployment import Member, RouteKind
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import EndpointAnswer

__all__ = ["PROBE_AFTER_S", "Attempt"]

SILENT_S = 0.8  # no byte from a plain service at work on any request
SILENT_SHARE = 0.3  # of an attempt's time, where that is less
# No byte from an engine: it is asked whether it can be reached. With the answer, and
# another endpoint's first event, a stream pauses for less than the 1.2 s of a late one.
PROBE_AFTER_S = 0.4
STREAM_SILENT_S = 1.0  # no byte of one stream while others at its endpoint move
# No byte of any stream from an engine that can be reached: engines read several long
# prompts between two tokens for up to this.
ENGINE_SILENT_S = 2.0
STUCK_SHARE = 0.4  # of an attempt's time, for an answer in one piece
READ_S_PER_TOKEN = 0.0001  # six times what an engine takes; large models are slower
STUCK_FIRST_S = 1.0  # on top of what first events usually take
STUCK_FIRST_RATIO = 4.0  # times what they usually take


@dataclass(slots=True)
class Attempt:
    """An attempt that is running, or has ended.

    Attributes
    ----------
    began : float
    first_there : bool
        Whether no earlier attempt of the request was at the endpoint.
    answer : EndpointAnswer or None
        Set once the head has come.
    """

    job: Job
    member: Member
    view: EndpointView
    model: str
    began: float
    first_at_endpoint: bool = True
    answer: EndpointAnswer | None = None
    last_byte_at: float = 0.0
    mean_first_event_s: float = 0.0
    prefill_ktokens: float = 0.0

    @property
    def silent_s(self) -> float:
        """Return the time without a byte from the endpoint that means silence."""
        if self.job.route.kind is RouteKind.STREAM:
            return PROBE_AFTER_S
        return min(SILENT_S, SILENT_SHARE * (self.job.deadline - self.began))

    @property
    def stuck_s(self) -> float:
        """Return the time without a byte of this answer that means it is stuck."""
        if self.job.route.kind is not RouteKind.STREAM:
            return STUCK_SHARE * (self.job.deadline - self.began)
        if self.answer is not None:
            others_move = (
                self.view.last_byte_at > self.last_byte_at + STREAM_SILENT_S / 2
            )
            return STREAM_SILENT_S if others_move else ENGINE_SILENT_S
        usual_s = STUCK_FIRST_RATIO * self.mean_first_event_s
        return STUCK_FIRST_S + self._reading_s + usual_s

    @property
    def _reading_s(self) -> float:
        """Return the time that reading the prompt may take."""
        return READ_S_PER_TOKEN * self.job.req.prompt_tokens

    def record_bytes(self, now: float) -> None:
        """Note that something came from the endpoint."""
        self.last_byte_at = now
        self.view.last_byte_at = now
