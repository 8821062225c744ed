"""Duties: work that one host does for a data centre or for all.

The first hosts by rendezvous rank contend for a duty's lease, so duties spread over
the hosts and few calls are made for each: two for a duty of a data centre, one of
each data centre for a duty of all, as a whole data centre may be cut off from the
platform. The lease is there for economy; each act gets the fencing number and guards
its own writes with revisions.
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

__all__ = ["Act", "Duties", "Duty", "DutyState", "contenders"]

CONTENDERS = 2

Act = Callable[[int], Awaitable[None]]

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
    """Return the hosts of this data centre that contend for a lease, in order."""
    names = [host.name for host in peers.live(peers.me.data_centre)]
    if peers.me.state is HostState.LIVE:
        names.append(peers.me.name)
    return rendezvous_order(names, lease_name)[:CONTENDERS]


@dataclass(slots=True, eq=False)
class Duty:
    """One duty as a host sees it; the model of the machine of duty states.

    Attributes
    ----------
    name : str
    lease : Lease
    act : callable or None
        Called with the fencing number while the duty is held.
    period_s : float
        Time between two acts, in seconds.
    data_centre : str
        Whose hosts contend; empty for all.
    """

    name: str
    lease: Lease
    act: Act | None
    period_s: float
    data_centre: str = ""
    state: DutyState = DutyState.IDLE
    acquired: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Duties:
    """The duties that this host may take up.

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
        act: Act | None = None,
        period_s: float = 5.0,
        per_data_centre: bool = False,
    ) -> None:
        """Register a duty; call it before `run`."""
        me = self.peers.me
        data_centre = me.data_centre if per_data_centre else ""
        lease_name = f"{name}.{data_centre}" if data_centre else name
        holder = f"{me.name}/{me.incarnation}"
        lease = Lease(lease_name, holder, self.platform, self.clock)
        self.duties[name] = Duty(name, lease, act, period_s, data_centre)

    def holds(self, name: str) -> bool:
        """Tell whether this host may act for a duty now."""
        return self.duties[name].lease.is_held(self.clock.now())

    def fencing_number(self, name: str) -> int:
        """Return the number of this host's holding, for orders and writes."""
        return self.duties[name].lease.fencing_number

    async def run(self) -> None:
        """Contend for the duties and do those held, until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                for duty in self.duties.values():
                    tasks.create_task(self._contend(duty))
                    if duty.act is not None:
                        tasks.create_task(self._act(duty))
        finally:
            held = [duty.lease for duty in self.duties.values()]
            await asyncio.gather(*(lease.release() for lease in held))

    def _in_rank(self, duty: Duty) -> bool:
        me = self.peers.me
        if me.state is not HostState.LIVE:
            return False
        centres = {host.data_centre for host in self.peers.live()} - {me.data_centre}
        alone = bool(duty.data_centre) or not centres
        count = CONTENDERS if alone else 1
        return me.name in contenders(self.peers, duty.lease.name)[:count]

    async def _contend(self, duty: Duty) -> None:
        while True:
            pause_s = RENEWAL_INTERVAL_S * self._rng.uniform(0.8, 1.0)
            try:
                await self._step(duty)
            except RadishshiftError as exc:
                logger.info("lease {}: {}", duty.lease.name, exc.message)
                self._check_lapse(duty)
            await self.clock.sleep_until(self.clock.now() + pause_s)

    async def _step(self, duty: Duty) -> None:
        self._check_lapse(duty)
        holding = duty.state is DutyState.HOLDING
        if not self._in_rank(duty):
            if holding and self.peers.me.state is not HostState.LIVE:
                await duty.lease.release()
                holding = False
            if not holding:
                self._move(duty, "rest")
                return
        if duty.state is DutyState.IDLE:
            self._move(duty, "contend")
        if await duty.lease.acquire_or_renew():
            self._move(duty, "acquire")
            duty.acquired.set()
        else:
            self._move(duty, "contend")

    def _check_lapse(self, duty: Duty) -> None:
        held = duty.lease.is_held(self.clock.now())
        if duty.state is DutyState.HOLDING and not held:
            logger.warning("the lease {} lapsed", duty.lease.name)
            self._move(duty, "lapse")

    def _move(self, duty: Duty, trigger: str) -> None:
        self._machine.events[trigger].trigger(duty)

    async def _act(self, duty: Duty) -> None:
        while True:
            await duty.acquired.wait()
            if not self.holds(duty.name):
                duty.acquired.clear()
                continue
            try:
                await duty.act(duty.lease.fencing_number)
            except RadishshiftError as exc:
                logger.warning("duty {}: {}", duty.name, exc.message)
            await self.clock.sleep_until(self.clock.now() + duty.period_s)
