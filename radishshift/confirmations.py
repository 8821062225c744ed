"""Which hosts have a revision of the configuration in force.

One host of each data centre writes an object that holds the revision of each host,
which they tell it; `unconfirmed_hosts` reads them.
"""

from collections.abc import Iterator
from contextlib import suppress
from random import Random

import msgspec

from radishshift.clocks import Clock
from radishshift.configuration import Configuration
from radishshift.duties import contenders
from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    NotFoundError,
    RadishshiftError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = [
    "CONFIRMATIONS_DUTY",
    "CONFIRMATION_WRITE_INTERVAL_S",
    "Confirmations",
    "unconfirmed_hosts",
]

CONFIRMATIONS_DUTY = "confirmations"
TOPIC = "rev"
TELL_EVERY_S = 0.5
TELL_WITHIN_S = 1.0
CONFIRMATION_WRITE_INTERVAL_S = 1.0


class _Told(msgspec.Struct, array_like=True):
    at_ms: int
    revision: int


async def unconfirmed_hosts(platform: Platform, revision: int) -> list[str]:
    """Return the hosts that do not confirm `revision` yet; none means in force.

    The platform's list of hosts says who has to confirm, so a host that has been
    taken from the list holds nothing up; one that only the data centres know of does.

    Raises
    ------
    PlatformUnavailableError
    """
    listed = {item.name for item in (await platform.list_all(Kind.HOST)).items}
    confirmed: dict[str, int] = {}
    for item in (await platform.list_all(Kind.CONFIRMATION)).items:
        for name, held in item.status.get("hosts", {}).items():
            confirmed[name] = max(held, confirmed.get(name, 0))
    return sorted(_behind(listed, confirmed, revision))


def _behind(
    listed: set[str], confirmed: dict[str, int], revision: int
) -> Iterator[str]:
    for name in listed | confirmed.keys():
        if confirmed.get(name, 0) < revision:
            yield name


class Confirmations:
    """Gathers the revisions of a data centre's hosts, and writes them.

    Each host tells the two that contend for the duty, directly: passed on from host
    to host, a change would cost each of them a row for every other.

    Parameters
    ----------
    configuration : Configuration
    platform : Platform
    peers : Peers
    clock : Clock
    """

    def __init__(
        self,
        configuration: Configuration,
        platform: Platform,
        peers: Peers,
        clock: Clock,
    ) -> None:
        self._configuration = configuration
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._rng = Random(f"{peers.me.name}{peers.me.incarnation}")
        self._revisions: dict[str, _Told] = {}
        self._told: dict[str, tuple[int, int]] = {}
        self._held: StoredObject | None = None
        self._fencing_number = 0
        peers.handle(TOPIC, self._take)

    async def run(self) -> None:
        """Tell the contenders of each new revision until cancelled."""
        while True:
            pause_s = TELL_EVERY_S * self._rng.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now() + pause_s)
            await self._tell()

    async def _tell(self) -> None:
        now = self._clock.now()
        me = self._peers.me
        told = _Told(int(now * 1000), self._configuration.revision)
        self._revisions[me.name] = told
        names = contenders(self._peers, f"{CONFIRMATIONS_DUTY}.{me.data_centre}")
        lives = {host.name: host.incarnation for host in self._peers.hosts()}
        for name in names:
            wanted = (lives.get(name, 0), told.revision)
            if name == me.name or self._told.get(name) == wanted:
                continue
            message = msgspec.json.encode(told)
            with suppress(RadishshiftError):
                await self._peers.call(name, TOPIC, message, now + TELL_WITHIN_S)
                self._told[name] = wanted

    async def _take(self, sender: str, message: bytes) -> bytes:
        told = msgspec.json.decode(message, type=_Told)
        held = self._revisions.get(sender)
        if held is None or held.at_ms < told.at_ms:
            self._revisions[sender] = told
        return b""

    async def write(self, fencing_number: int) -> None:
        """Write the confirmations if they have changed; the act of the duty."""
        if self._held is None or fencing_number != self._fencing_number:
            self._held = await self._read()
            self._fencing_number = fencing_number
        held = self._held
        revision = 0
        if held is not None:
            revision = held.revision
            if held.spec.get("fencingNumber", 0) > fencing_number:
                return
        spec = {"fencingNumber": fencing_number}
        status = {"hosts": self._present()}
        if held is not None and (held.spec, held.status) == (spec, status):
            return
        name = self._peers.me.data_centre
        item = StoredObject(Kind.CONFIRMATION, name, spec, status, revision)
        self._held = None
        with suppress(AlreadyExistsError, ConflictError, NotFoundError):
            self._held = await self._store(item)

    async def _store(self, item: StoredObject) -> StoredObject:
        if item.revision:
            return await self._platform.update(item)
        return await self._platform.create(item)

    def _present(self) -> dict[str, int]:
        # A host that started anew has to confirm anew.
        since = {host.name: host.incarnation for host in self._peers.hosts()}
        since[self._peers.me.name] = 0
        self._revisions = {
            name: told
            for name, told in self._revisions.items()
            if name in since and told.at_ms >= since[name]
        }
        return {name: told.revision for name, told in sorted(self._revisions.items())}

    async def _read(self) -> StoredObject | None:
        try:
            return await self._platform.get(
                Kind.CONFIRMATION, self._peers.me.data_centre
            )
        except NotFoundError:
            return None
