"""Duties: work that one host does for a data centre or for the whole fleet.

The first hosts by rendezvous rank contend for a duty's lease, which spreads the duties
over the hosts and keeps platform calls few. Two hosts contend for a duty of one data
centre. Where there are several data centres, one host of each contends for a duty of
the fleet, because a whole data centre may be cut off from the platform. The lease only
avoids duplicate work; for correctness each action gets the fencing token and makes its
writes conditional on revisions.
"""

import asyncio
import enum
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import logbook
from transitions import Machine

from radishshift.clocks import Clock
from radishshift.errors import RadishshiftError
from radishshift.hosts import HostState, rendezvous_order
from radishshift.leases import RENEWAL_INTERVAL_S, Lease
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = ["Action", "Duties", "Duty", "DutyState", "contenders"]

MAX_CONTENDERS = 2

Action = Callable[[int], Awaitable[None]]

logger = logbook.Logger("duties")


class DutyState(enum.StrEnum):
    """State of a duty at one host."""

    IDLE = "idle"
    CONTENDING = "contending"
    HOLDING = "holding"
    LAPSED = "lapsed"


TRANSITIONS = [
    ["contend", "*", DutyState.CONTENDING],
    ["acquire", [DutyState.CONTENDING, DutyState.LAPSED], DutyState.HOLDING],
    ["acquire", DutyState.HOLDING, None],
    ["lapse", DutyState.HOLDING, DutyState.LAPSED],
    ["rest", "*", DutyState.IDLE],
]


def contenders(peers: Peers, lease_name: str) -> list[str]:
    """Return this data centre's hosts that contend for a lease, in rank order."""
    names = [host.name for host in peers.live(peers.me.data_centre)]
    if peers.me.state is HostState.LIVE:
        names.append(peers.me.name)
    return rendezvous_order(names, lease_name)[:MAX_CONTENDERS]


@dataclass(slots=True, eq=False)
class Duty:
    """One host's view of a duty; the model of the duty state machine.

    Attributes
    ----------
    name : str
    lease : Lease
    act : callable or None
        Called with the fencing token, periodically while the duty is held.
    period_s : float
        Interval between two calls of `act`, in seconds.
    data_centre : str
        Data centre whose hosts contend; empty for a duty of the whole fleet.
    state : DutyState
        Set by the state machine of `Duties`.
    lease_held : asyncio.Event
        Set while the lease may be held; wakes the task that runs the actions.
    """

    name: str
    lease: Lease
    act: Action | None
    period_s: float
    data_centre: str = ""
    state: DutyState = DutyState.IDLE
    lease_held: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Duties:
    """The duties for which this host may contend.

    Parameters
    ----------
    platform : Platform
    peers : Peers
    clock : Clock
    """

    platform: Platform
    peers: Peers
    clock: Clock
    duties: dict[str, Duty] = field(default_factory=dict)
    _rng: Random = field(default_factory=Random)
    _machine: Machine = field(init=False)

    def __post_init__(self) -> None:
        self._machine = Machine(
            model=None,
            states=DutyState,
            initial=DutyState.IDLE,
            transitions=TRANSITIONS,
            auto_transitions=False,
        )

    def add(
        self,
        name: str,
        act: Action | None = None,
        period_s: float = 5.0,
        per_data_centre: bool = False,
    ) -> None:
        """Register a duty; to be called before `run`."""
        me = self.peers.me
        data_centre = me.data_centre if per_data_centre else ""
        lease_name = f"{name}.{data_centre}" if data_centre else name
        holder = f"{me.name}/{me.incarnation}"
        lease = Lease(lease_name, holder, self.platform, self.clock)
        self.duties[name] = Duty(name, lease, act, period_s, data_centre)

    def holds(self, name: str) -> bool:
        """Return whether this host currently holds a duty and may act for it."""
        return self.duties[name].lease.is_held(self.clock.now())

    def fencing_number(self, name: str) -> int:
        """Return the fencing token of this host's lease on a duty."""
        return self.duties[name].lease.fencing_number

    async def run(self) -> None:
        """Contend for the duties and perform those held, until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                for duty in self.duties.values():
                    tasks.create_task(self._contend(duty))
                    if duty.act is not None:
                        tasks.create_task(self._run_actions(duty))
        finally:
            leases = [duty.lease for duty in self.duties.values()]
            await asyncio.gather(*(lease.release() for lease in leases))

    def _should_contend(self, duty: Duty) -> bool:
        me = self.peers.me
        if me.state is not HostState.LIVE:
            return False
        other_data_centres = {host.data_centre for host in self.peers.live()} - {
            me.data_centre
        }
        one_data_centre = bool(duty.data_centre) or not other_data_centres
        count = MAX_CONTENDERS if one_data_centre else 1
        return me.name in contenders(self.peers, duty.lease.name)[:count]

    async def _contend(self, duty: Duty) -> None:
        """Acquire and renew the lease while this host should contend for the duty."""
        while True:
            pause_s = RENEWAL_INTERVAL_S * self._rng.uniform(0.8, 1.0)
            try:
                await self._contend_once(duty)
            except RadishshiftError as exc:
                logger.info(
                    "failed to acquire or renew lease {}: {}",
                    duty.lease.name,
                    exc.message,
                )
                self._check_expiry(duty)
            await self.clock.sleep_until(self.clock.now() + pause_s)

    async def _contend_once(self, duty: Duty) -> None:
        self._check_expiry(duty)
        holding = duty.state is DutyState.HOLDING
        # A live holder keeps its lease though it is no longer a contender.
        if not self._should_contend(duty):
            if holding and self.peers.me.state is not HostState.LIVE:
                await duty.lease.release()
                holding = False
            if not holding:
                self._fire(duty, "rest")
                return
        if duty.state is DutyState.IDLE:
            self._fire(duty, "contend")
        if await duty.lease.acquire_or_renew():
            self._fire(duty, "acquire")
            duty.lease_held.set()
        else:
            self._fire(duty, "contend")

    def _check_expiry(self, duty: Duty) -> None:
        held = duty.lease.is_held(self.clock.now())
        if duty.state is DutyState.HOLDING and not held:
            logger.warning("lease {} expired before it was renewed", duty.lease.name)
            self._fire(duty, "lapse")

    def _fire(self, duty: Duty, trigger: str) -> None:
        self._machine.events[trigger].trigger(duty)

    async def _run_actions(self, duty: Duty) -> None:
        while True:
            await duty.lease_held.wait()
            if not self.holds(duty.name):
                duty.lease_held.clear()
                continue
            try:
                await duty.act(duty.lease.fencing_number)
            except RadishshiftError as exc:
                logger.warning("action of duty {} failed: {}", duty.name, exc.message)
            await self.clock.sleep_until(self.clock.now() + duty.period_s)
