"""Explains where a host would send a request now, and why, without sending it.

The answer comes from the same decisions as for a request. It is served as JSON at
`/explain` of the metrics address: the question is the body of a POST.
"""

from typing import Annotated

import msgspec

from radishshift.clocks import Clock
from radishshift.decisions.placing import REQUEST_S, Terms
from radishshift.errors import RadishshiftError
from radishshift.gateway.deployment import Member
from radishshift.gateway.dispatch import Dispatcher
from radishshift.gateway.gossip import Gossip
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import CallerRequest, PromptPart
from radishshift.gateway.request_path import RequestPath

__all__ = ["PATH", "EndpointExplanation", "Explainer", "Explanation", "Question"]

PATH = "/explain"
REQUEST_ID = "explained"  # no endpoint sees it

TokenCount = Annotated[int, msgspec.Meta(ge=0, le=10**15)]


class Question(msgspec.Struct, rename="camel", forbid_unknown_fields=True):
    """A request to explain, as a caller would send it.

    Attributes
    ----------
    host, path : str
        Select the route.
    key : str
        API key of the customer.
    timeout_s : float
        Time that the caller waits.
    parts : list of tuple
        Digest and tokens of each part of the prompt, in order.
    """

    host: str
    path: str
    key: str = ""
    session: str = ""
    model: str = ""
    prompt_tokens: TokenCount = 0
    answer_tokens: TokenCount = 0
    timeout_s: float = 10.0
    parts: list[tuple[str, TokenCount]] = []


class EndpointExplanation(msgspec.Struct, rename="camel"):
    """What an attempt would cost at one endpoint, in seconds of callers' time.

    Attributes
    ----------
    left_out : str
        Why the endpoint can't be chosen, or empty.
    total_s : float
        (own - saved + load) * slowness + copy + remote + failures; least is chosen.
    last_byte_age_s : float or None
        Time since this host last received a byte from it; None if it never did.
    """

    endpoint: str
    data_centre: str
    version: str
    left_out: str
    total_s: float
    own_s: float
    saved_s: float
    load_s: float
    slowness: float
    copy_s: float
    remote_s: float
    failures_s: float
    last_byte_age_s: float | None


class Explanation(msgspec.Struct, rename="camel"):
    """Where a request would go now.

    Attributes
    ----------
    answered_by : str
        The host whose view this is.
    coordinator : str
        Host that would be asked for the endpoint, or empty. It knows the load of all
        hosts and its choice goes first; ask it as well.
    endpoint : str
        The choice by this host's view, empty if the request would be rejected.
    error, reason, retry_after_s
        Code and text of the rejection, and when to come back.
    loads_age_s : float or None
        Age of the oldest load that peers have reported and that counts here.
    """

    answered_by: str
    configuration: int
    route: str = ""
    customer: str = ""
    service: str = ""
    version: str = ""
    model: str = ""
    time_left_s: float = 0.0
    coordinator: str = ""
    endpoint: str = ""
    error: str = ""
    reason: str = ""
    retry_after_s: float | None = None
    loads_age_s: float | None = None
    endpoints: list[EndpointExplanation] = []


class Explainer:
    """Explains requests by one host's view.

    Parameters
    ----------
    host : str
    clock : Clock
    path : RequestPath
    dispatcher : Dispatcher
    gossip : Gossip
    """

    def __init__(
        self,
        host: str,
        clock: Clock,
        path: RequestPath,
        dispatcher: Dispatcher,
        gossip: Gossip,
    ) -> None:
        self._host = host
        self._clock = clock
        self._path = path
        self._dispatcher = dispatcher
        self._gossip = gossip

    def explain(self, question: Question) -> Explanation:
        """Return where a request would go now; nothing is sent or counted."""
        now = self._clock.now()
        version = self._dispatcher.host_view.version
        explanation = Explanation(self._host, version)
        explanation.coordinator = self._gossip.peers.coordinator(now) or ""
        explanation.loads_age_s = self._loads_age_s(now)
        try:
            job = self._path.preview(_request(question, now))
            self._describe(job, question, explanation, now)
            self._dispatcher.check_before_attempt(job)
            member = self._dispatcher.placement.preview(job, explanation.model)
            explanation.endpoint = member.name
        except RadishshiftError as exc:
            explanation.error = exc.code
            explanation.reason = exc.message
            explanation.retry_after_s = exc.retry_after_s
        return explanation

    def _describe(
        self, job: Job, question: Question, explanation: Explanation, now: float
    ) -> None:
        models = job.route.models
        explanation.route = job.route.name
        explanation.customer = "" if job.customer is None else job.customer.name
        explanation.service = job.service
        explanation.version = job.version
        explanation.model = models[0] if models else question.model
        explanation.time_left_s = round(job.deadline - now, 3)
        placement = self._dispatcher.placement
        explanation.endpoints = sorted(
            (
                self._endpoint(member, left_out, terms, now)
                for member, left_out, terms in placement.explain(job, explanation.model)
            ),
            key=lambda each: (bool(each.left_out), each.total_s),
        )

    def _endpoint(
        self, member: Member, left_out: str, terms: Terms, now: float
    ) -> EndpointExplanation:
        last_byte_at = self._dispatcher.last_byte_at(member)
        return EndpointExplanation(
            endpoint=member.name,
            data_centre=member.data_centre,
            version=member.version,
            left_out=left_out,
            total_s=_seconds(terms.total),
            own_s=_seconds(terms.own),
            saved_s=_seconds(terms.saved),
            load_s=_seconds(terms.load),
            slowness=round(terms.slowness, 2),
            copy_s=_seconds(terms.copy),
            remote_s=_seconds(terms.remote),
            failures_s=_seconds(terms.failures),
            last_byte_age_s=round(now - last_byte_at, 2) if last_byte_at else None,
        )

    def _loads_age_s(self, now: float) -> float | None:
        ages = [now - peer.message_at for peer in self._gossip.peers.recent(now)]
        return round(max(ages), 2) if ages else None


def _seconds(load: float) -> float:
    return round(load * REQUEST_S, 3)


def _request(question: Question, now: float) -> CallerRequest:
    return CallerRequest(
        request_id=REQUEST_ID,
        method="POST",
        host=question.host,
        target=question.path,
        headers=(),
        body=b"",
        deadline=now + question.timeout_s,
        received_at=now,
        key=question.key,
        session=question.session,
        model=question.model,
        prompt_tokens=question.prompt_tokens,
        answer_tokens=question.answer_tokens,
        parts=tuple(PromptPart(*part) for part in question.parts),
    )
