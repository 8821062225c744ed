"""Has attempts relayed by peers where this host reaches no endpoint of a service."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random

import aiohttp
import logbook

from radishshift.clocks import Clock
from radishshift.decisions.placing import EndpointView
from radishshift.decisions.service_reach import HelperState, choose_helper
from radishshift.errors import (
    EndpointError,
    HelperUnavailableError,
    NoEndpointError,
    RadishshiftError,
    rebuild_error,
)
from radishshift.gateway.attempts import Attempt
from radishshift.gateway.client_connections import IdentifiedRequest
from radishshift.gateway.deployment import Member
from radishshift.gateway.host_settings import GatewaySettings
from radishshift.gateway.http_answers import BodyBudget, HttpAnswer
from radishshift.gateway.jobs import Job
from radishshift.gateway.messages import EndpointAnswer
from radishshift.gateway.peer_table import PeerTable
from radishshift.gateway.relay_messages import (
    HEAD_END,
    RelayHead,
    decode_message,
    encode_message,
    relay_order,
)
from radishshift.gateway.service_monitor import (
    PROBE_LOST_INTERVAL_S,
    ServiceMonitor,
)
from radishshift.gateway.sockets import keepalive_session
from radishshift.gateway.targets import Helper

__all__ = ["PATH", "RelayClient", "RelayReply"]

PATH = "/relay"
CONNECT_TIMEOUT_S = 0.35
IDLE_TIMEOUT_S = 5.0
READ_BUFFER_BYTES = 1 << 16
MAX_HEAD_BYTES = 1 << 16
MAX_REPLY_BYTES = 5_000_000  # the longest answer of an endpoint, with its heads
HELPER_PAUSE_S = 1.0  # after a peer failed or declined
# The order is of a form that the peer doesn't know, as that of an earlier release, or
# it had no room for it, so that it never had the whole of it.
NOT_READ_STATUSES = frozenset((400, 408, 413, 503))

logger = logbook.Logger("relay")


@dataclass(frozen=True, slots=True)
class RelayReply:
    """The outcome of an attempt up to the head of its answer.

    Attributes
    ----------
    endpoint : Member or None
        None if the peer has sent nothing to any.
    answer : EndpointAnswer or None
        None if the attempt failed.
    error : RadishshiftError or None
    """

    endpoint: Member | None = None
    answer: EndpointAnswer | None = None
    error: RadishshiftError | None = None


class RelayedAnswer(HttpAnswer):
    """An answer whose body a peer relays."""

    lost_message = "the peer broke the answer off"

    def __init__(
        self, resp: aiohttp.ClientResponse, head: RelayHead, bodies: BodyBudget
    ) -> None:
        super().__init__(resp, bodies)
        self.status = head.status
        self.headers = head.header_list()
        self.signed = head.signed
        self.confidence = head.confidence


class RelayClient:
    """Chooses peers that reach a service, and sends them attempts.

    Parameters
    ----------
    settings : GatewaySettings
    clock : Clock
    peers : PeerTable
    monitor : ServiceMonitor
    listed : callable
        Returns the names of a service's endpoints that are in use.

    Attributes
    ----------
    sent, rejected : int
        Attempts that were handed to peers, and requests rejected as none reaches the
        service either.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        peers: PeerTable,
        monitor: ServiceMonitor,
        listed: Callable[[str], set[str]],
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._peers = peers
        self._monitor = monitor
        self._listed = listed
        self._random = Random(f"helpers of {settings.host}")
        self._views: dict[str, EndpointView] = {}
        self._paused_until: dict[str, float] = {}
        self._session: aiohttp.ClientSession | None = None
        self._bodies = BodyBudget()
        self.sent = 0
        self.rejected = 0

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def view(self, helper: Helper) -> EndpointView:
        """Return what this host knows of the way to a peer."""
        view = self._views.get(helper.host)
        if view is None or view.member.address != helper.member.address:
            view = EndpointView(helper.member)
            self._views[helper.host] = view
        return view

    def choose(self, job: Job) -> Helper | None:
        """Return the peer to relay a job's next attempt, or None to send it directly.

        Raises
        ------
        NoEndpointError
            If neither this host nor a peer reaches the service.
        """
        tracker = self._monitor.tracker
        lost = tracker.lost(job.service)
        if not lost and not self._found_no_connection(job):
            return None
        data_centre = self._settings.data_centre
        helpers = list(self._helpers(job))
        others = [each for each in helpers if each.host not in job.avoided_helpers]
        state = choose_helper(others or helpers, data_centre, self._random)
        if state is None and lost:
            self.rejected += 1
            raise NoEndpointError(
                f"neither this host nor a peer reaches an endpoint of {job.service}",
                retry_after_s=PROBE_LOST_INTERVAL_S,
            )
        if state is None:
            return None
        logger.info(
            "attempt is handed to a peer",
            extra={
                "request_id": job.req.request_id,
                "service": job.service,
                "helper": state.host,
                "reached_s_ago": round(state.age_s, 2),
                "relaying": state.relaying,
                "why": "service lost" if lost else "no connection",
            },
        )
        self.sent += 1
        job.helpers.append(state.host)
        member = Member(
            name=f"via {state.host}",
            service="",
            address=state.address,
            data_centre=state.data_centre,
            version="",
            slots=0,
        )
        return Helper(state.host, member)

    def has_other(self, job: Job) -> bool:
        """Return whether a further peer could relay an attempt of a job."""
        return any(
            helper.host not in job.avoided_helpers for helper in self._helpers(job)
        )

    def _found_no_connection(self, job: Job) -> bool:
        """Return whether a job's own attempts suggest that a peer may do better."""
        if not job.unreachable_attempts:
            return False
        now = self._clock.now()
        if not self._monitor.tracker.answered_recently(job.service, now):
            return True
        return self._listed(job.service) <= set(job.failed_endpoints)

    def _helpers(self, job: Job) -> Iterator[HelperState]:
        """Yield the peers that say they reach the service of a job."""
        now = self._clock.now()
        for peer in self._peers.recent(now):
            message = peer.message
            host = message.host
            age_s = message.reached.get(job.service)
            paused = self._paused_until.get(host, 0.0) > now
            region = self._settings.regions.get(peer.data_centre)
            if age_s is None or paused or not job.may_run_in(region):
                continue
            view = self._views.get(host)
            own = 0 if view is None else view.in_flight
            yield HelperState(
                host,
                peer.address,
                peer.data_centre,
                now - peer.message_at + age_s,
                max(own, message.relaying),
            )

    def record_failure(self, host: str) -> None:
        """Leave a peer out for a while."""
        self._paused_until[host] = self._clock.now() + HELPER_PAUSE_S

    async def send(
        self, attempt: Attempt, last_event_id: str, may_retry: bool
    ) -> RelayReply:
        """Send an attempt to its peer; return once the head of the answer is known.

        Parameters
        ----------
        attempt : Attempt
        last_event_id : str
        may_retry : bool
            Whether another attempt may follow if the peer gives this one up.

        Raises
        ------
        HelperUnavailableError
            Nothing has run.
        EndpointError
            The connection to the peer was lost; the attempt may have run.
        """
        host = attempt.helper
        order = relay_order(
            self._settings.host, attempt, last_event_id, may_retry, self._clock.now()
        )
        address = attempt.view.member.address
        try:
            resp = await self._post(address, encode_message(order))
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            self.record_failure(host)
            raise HelperUnavailableError(
                f"no connection to host {host}: {exc!r}"
            ) from exc
        except (aiohttp.ClientError, OSError) as exc:
            self.record_failure(host)
            raise EndpointError(f"host {host} broke off: {exc!r}") from exc
        try:
            return await self._read_head(resp, attempt)
        except BaseException:
            resp.close()
            raise

    async def _post(self, address: str, body: bytes) -> aiohttp.ClientResponse:
        if self._session is None:
            self._session = keepalive_session(
                IDLE_TIMEOUT_S,
                READ_BUFFER_BYTES,
                (MAX_HEAD_BYTES, MAX_REPLY_BYTES),
                IdentifiedRequest,
            )
        return await self._session.post(
            f"http://{address}{PATH}",
            data=body,
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    async def _read_head(
        self, resp: aiohttp.ClientResponse, attempt: Attempt
    ) -> RelayReply:
        host = attempt.helper
        try:
            if resp.status != 200:
                self.record_failure(host)
                raise _error_of_status(host, resp.status)
            line = await resp.content.readuntil(HEAD_END)
            head = decode_message(line, RelayHead)
            if head.request_id not in ("", attempt.job.req.request_id):
                raise ValueError(f"a reply for request {head.request_id}")
            error = rebuild_error(head.error) if head.error else None
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            self.record_failure(host)
            raise EndpointError(f"host {host} broke off: {exc!r}") from exc
        endpoint = head.member(attempt.job.service)
        if error is None:
            return RelayReply(endpoint, RelayedAnswer(resp, head, self._bodies))
        resp.release()
        if isinstance(error, HelperUnavailableError):
            self.record_failure(host)
        return RelayReply(endpoint, error=error)


def _error_of_status(host: str, status: int) -> EndpointError:
    """Return the error for a status other than 200, with which no head comes."""
    if status in NOT_READ_STATUSES:
        return HelperUnavailableError(f"host {host} can't read the order: {status}")
    return EndpointError(f"host {host} failed with status {status}")
