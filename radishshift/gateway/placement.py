"""Choice of the endpoint for each attempt of a request at one host."""

from collections.abc import Collection, Iterator, Mapping, Set
from dataclasses import replace

from radishshift.clocks import Clock
from radishshift.decisions.endpoint_pauses import EndpointPauses
from radishshift.decisions.placing import PlacementRequest, Placer, Terms
from radishshift.errors import NoEndpointError
from radishshift.gateway.connection_prober import ConnectionProber
from radishshift.gateway.deployment import Member, RouteKind
from radishshift.gateway.endpoint_permits import EndpointPermits
from radishshift.gateway.host_view import HostView
from radishshift.gateway.jobs import Job
from radishshift.gateway.shared_placement import SharedPlacement

__all__ = ["Placement"]

# Departed endpoints are used for this share of `drain_s`, if no other is available.
DEPARTED_USE_SHARE = 0.5
# The coordinator answers within a few milliseconds; a host that uses up its processor
# time pauses for up to 0.1 s.
STREAM_PLACEMENT_TIMEOUT_S = 0.15
CALL_PLACEMENT_TIMEOUT_S = 0.04  # a call's objective is a few tenths of a second
# Endpoints whose permits are asked for before a request is refused; each question takes
# a few milliseconds.
MAX_PERMIT_QUESTIONS = 4


class Placement:
    """Chooses endpoints, by the coordinator's advice where there is one.

    Parameters
    ----------
    clock : Clock
    data_centre : str
    host_view : HostView
    placer : Placer
    prober : ConnectionProber
    drain_s : float
        Time after an endpoint's departure from which it may get no requests.

    Attributes
    ----------
    shared : SharedPlacement or None
        Asks the coordinator of a large data centre; None where each host chooses alone.
    permits : EndpointPermits or None
        Permits for endpoints that limit their requests; None if none does.
    pauses : EndpointPauses
        Pauses for which endpoints have asked.
    regions : mapping of str to str
        Regions of the data centres.
    """

    def __init__(
        self,
        clock: Clock,
        data_centre: str,
        host_view: HostView,
        placer: Placer,
        prober: ConnectionProber,
        drain_s: float,
    ) -> None:
        self.drain_s = drain_s
        self.shared: SharedPlacement | None = None
        self.permits: EndpointPermits | None = None
        self.pauses = EndpointPauses()
        self.regions: Mapping[str, str] = {}
        self._clock = clock
        self._data_centre = data_centre
        self._host_view = host_view
        self._placer = placer
        self._prober = prober

    async def place(self, job: Job, model: str = "") -> Member:
        """Return the endpoint for the next attempt, with its permit if it needs one.

        Unreachable endpoints that are due for a connection probe are probed in the
        background.

        Parameters
        ----------
        job : Job
        model : str
            Empty unless one has been chosen for the request.

        Raises
        ------
        NoEndpointError
        """
        for _ in range(MAX_PERMIT_QUESTIONS):
            member = await self._place_without_permit(job, model)
            if self.permits is None or await self.permits.acquire(member, job):
                return member
        # Endpoints that need permits look idle, as they get little.
        unlimited = [
            member for member in self._allowed(job) if not self.permits.required(member)
        ]
        now = self._clock.now()
        chosen = self._placer.choose(unlimited, self._own_request(job, model), now)
        if chosen is None:
            raise self._no_endpoint(job)
        return chosen

    async def _place_without_permit(self, job: Job, model: str) -> Member:
        """Return the endpoint to use if it permits the attempt.

        The coordinator's advice is used only if this host, too, would send there.
        """
        members = self._allowed(job)
        for view in self._placer.to_probe(members, self._clock.now()):
            self._prober.probe(view)
        if self.shared is not None and len(members) > 1:
            advised = await self._ask_coordinator(job, model, members)
            if advised is not None:
                return advised
        return self._choose(job, model)

    async def _ask_coordinator(
        self, job: Job, model: str, members: Collection[Member]
    ) -> Member | None:
        """Return the endpoint that the coordinator names, if it is usable here."""
        request = self._request(job, model)
        now = self._clock.now()
        avoided = {member.name for member in self._placer.unavailable(members, now)}
        request = replace(
            request,
            excluded=[
                member.name
                for member in self._host_view.members_of(job.service)
                if self._retry_at(member) > now or not self._at_home(job, member)
            ],
        )
        timeout_s = (
            STREAM_PLACEMENT_TIMEOUT_S
            if job.route.kind is RouteKind.STREAM
            else CALL_PLACEMENT_TIMEOUT_S
        )
        name = await self.shared.suggest(request, avoided, timeout_s)
        if not name or name in avoided or name in job.failed_endpoints[-1:]:
            return None
        # An endpoint may have left while the question was on its way.
        for member in self._allowed(job):
            if member.name == name:
                self._placer.record_choice(member, request, self._clock.now())
                job.coordinated += 1
                return member
        return None

    def _choose(self, job: Job, model: str) -> Member:
        """Return the endpoint that this host chooses for itself, and record it."""
        chosen = self.preview(job, model)
        self._placer.record_choice(chosen, self._request(job, model), self._clock.now())
        return chosen

    def preview(self, job: Job, model: str) -> Member:
        """Return the endpoint that this host would choose for itself now.

        The only endpoint is chosen again even if it failed the request. If none of the
        job's version is available, `job.version` is cleared and any version is used;
        the last resort are endpoints that departed recently.

        Raises
        ------
        NoEndpointError
        """
        now = self._clock.now()
        request = self._own_request(job, model)
        members = self._allowed(job)
        best = self._placer.best(members, request, now)
        if best is None and job.failed_endpoints and len(members) == 1:
            best = self._placer.best(members, replace(request, tried=()), now)
        if best is None and self._must_wait(job):
            raise self._no_endpoint(job)
        if best is None and job.version:
            job.version = ""
            return self.preview(job, model)
        if best is None:
            since = now - DEPARTED_USE_SHARE * self.drain_s
            departed = [
                member
                for member in self._host_view.departed_since(job.service, since)
                if self._retry_at(member) <= now and self._at_home(job, member)
            ]
            best = self._placer.best(departed, request, now)
        if best is None:
            raise self._no_endpoint(job)
        return best

    def explain(self, job: Job, model: str) -> Iterator[tuple[Member, str, Terms]]:
        """Yield the known endpoints of a job's service, with the terms of each.

        Yields
        ------
        tuple
            The endpoint, why it is left out or an empty string, and its terms.
        """
        now = self._clock.now()
        request = self._own_request(job, model)
        usable = set(self._host_view.members_of(job.service))
        reasons = {
            member: self._reason_left_out(job, member, usable, now)
            for member in self._host_view.known_members()
            if member.service == job.service
        }
        # The endpoints to choose from are compared with each other alone.
        for left_out in (False, True):
            members = [each for each in reasons if bool(reasons[each]) is left_out]
            terms = self._placer.explain(members, request, now)
            for member in members:
                yield member, reasons[member], terms[member.incarnation]

    def _reason_left_out(
        self, job: Job, member: Member, usable: Set[Member], now: float
    ) -> str:
        """Return why an endpoint can't be chosen now, or an empty string."""
        if member.data_centre in self._host_view.evacuated:
            return "evacuated"
        if member not in usable:
            return "leaving or gone"
        if not self._at_home(job, member):
            return "other region"
        if self.pauses.until(member.incarnation) > now:
            return "pauses"
        if self._retry_at(member) > now:
            return "no permit"
        if job.version and member.version != job.version:
            return "other version"
        return ""

    def _no_endpoint(self, job: Job) -> NoEndpointError:
        members = list(self._host_view.members_of(job.service))
        now = self._clock.now()
        at_home = [member for member in members if self._at_home(job, member)]
        later = [at for at in map(self._retry_at, at_home) if at > now]
        retry_after_s = min(later) - now if later else None
        evacuated = sorted(self._host_view.evacuated)
        return NoEndpointError(
            f"no endpoint of {job.service} is available out of {len(members)}, "
            f"{len(members) - len(at_home)} of which are in other regions and "
            f"{len(later)} take requests only later"
            + (f"; evacuated: {', '.join(evacuated)}" if evacuated else ""),
            retry_after_s=retry_after_s,
        )

    def has_alternative(self, job: Job, model: str, member: Member) -> bool:
        """Return whether an endpoint other than `member` could be tried."""
        request = replace(
            self._request(job, model), tried=[*job.failed_endpoints, member.name]
        )
        return self._placer.has_alternative(
            self._allowed(job), request, self._clock.now()
        )

    def has_unlimited_endpoint(self, job: Job) -> bool:
        """Return whether a job may be sent to an endpoint that needs no permit."""
        return self.permits is None or any(
            not self.permits.required(member) for member in self._allowed(job)
        )

    def prefill_ktokens(self, job: Job, model: str) -> float:
        """Return thousands of tokens to prefill, weighted by the model's cost.

        The weight is 1 for the largest model, whose prefill takes longest.
        """
        costs = self._host_view.model_costs(job.service)
        max_cost = max(costs.values(), default=0.0)
        share = costs[model] / max_cost if max_cost and model in costs else 1.0
        return share * job.req.prompt_tokens / 1000

    def _request(self, job: Job, model: str) -> PlacementRequest:
        parts = job.req.parts
        # The last part is the request's own, or its session's, which comes again.
        shared = parts[:-1] if len(parts) > 1 else parts
        kept = parts if job.req.session else shared
        return PlacementRequest(
            service=job.service,
            data_centre=self._data_centre,
            affinity=f"{model} {shared[-1].digest}" if shared else "",
            shared_tokens=sum(part.tokens for part in shared),
            prefill_ktokens=self.prefill_ktokens(job, model),
            tried=job.failed_endpoints,
            version=job.version,
            parts=[(f"{model} {part.digest}", part.tokens) for part in kept],
            prompt_tokens=job.req.prompt_tokens,
        )

    def _own_request(self, job: Job, model: str) -> PlacementRequest:
        """Return the request for a choice by this host itself."""
        coordinates = self.shared is not None and self.shared.coordinates
        return replace(self._request(job, model), sees_prompts=coordinates)

    def _allowed(self, job: Job) -> list[Member]:
        """Return the endpoints that a job may still be sent to."""
        now = self._clock.now()
        return [
            member for member in self._in_reach(job) if self._retry_at(member) <= now
        ]

    def _must_wait(self, job: Job) -> bool:
        """Return whether endpoints of a job's version may be tried only later."""
        now = self._clock.now()
        return any(
            self._retry_at(member) > now
            for member in self._in_reach(job)
            if not job.version or member.version == job.version
        )

    def _in_reach(self, job: Job) -> list[Member]:
        """Return the endpoints that a job may still be sent to, permits aside."""
        members = [
            member
            for member in self._host_view.members_of(job.service)
            if self._at_home(job, member)
        ]
        if job.endpoints_left > 0:
            return members
        return [member for member in members if member.name in job.used_endpoints]

    def _at_home(self, job: Job, member: Member) -> bool:
        """Return whether an endpoint is in a region in which a job may run."""
        return job.may_run_in(self.regions.get(member.data_centre))

    def _retry_at(self, member: Member) -> float:
        """Return the instant from which an endpoint may be tried, 0 for now."""
        paused_until = self.pauses.until(member.incarnation)
        if self.permits is None:
            return paused_until
        return max(paused_until, self.permits.retry_at(member))
