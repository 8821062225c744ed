"""Which hosts have a revision of the configuration in force.

One host of each data centre writes an object that holds the revision of each host,
as gathered from the heartbeats; `in_force` reads them.
"""

from collections.abc import Iterator
from contextlib import suppress

from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    NotFoundError,
)
from radishshift.following import ConfigurationFollower
from radishshift.objects import Kind, StoredObject
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = ["CONFIRMATIONS", "WRITE_EVERY_S", "ConfirmationWriter", "in_force"]

CONFIRMATIONS = "confirmations"
WRITE_EVERY_S = 1.0


async def in_force(platform: Platform, revision: int) -> list[str]:
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


class ConfirmationWriter:
    """Writes a data centre's confirmations.

    Parameters
    ----------
    platform : Platform
    peers : Peers
    follower : ConfigurationFollower
    """

    def __init__(
        self, platform: Platform, peers: Peers, follower: ConfigurationFollower
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._follower = follower
        self._held: StoredObject | None = None
        self._fencing_number = 0

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
        names = {host.name for host in self._peers.hosts()} | {self._peers.me.name}
        revisions = self._follower.confirmed_revisions()
        return {name: revisions[name] for name in sorted(names & revisions.keys())}

    async def _read(self) -> StoredObject | None:
        try:
            return await self._platform.get(
                Kind.CONFIRMATION, self._peers.me.data_centre
            )
        except NotFoundError:
            return None
