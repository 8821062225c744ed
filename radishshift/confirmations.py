"""Which hosts have a revision of the configuration in force.

The first watcher of each data centre writes one object that holds the revision of
each host, as gathered from the heartbeats; `in_force` reads them.
"""

from collections.abc import Iterator

import logbook

from radishshift.clocks import Clock
from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    NotFoundError,
    RadishshiftError,
)
from radishshift.following import ConfigurationFollower, watcher_names
from radishshift.objects import Kind, StoredObject
from radishshift.peers import Peers
from radishshift.platform import Platform

__all__ = ["ConfirmationWriter", "in_force"]

WRITE_EVERY_S = 1.0

logger = logbook.Logger("confirmations")


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
    """Writes a data centre's confirmations while this host is its first watcher.

    Parameters
    ----------
    platform : Platform
    peers : Peers
    follower : ConfigurationFollower
    clock : Clock
    """

    def __init__(
        self,
        platform: Platform,
        peers: Peers,
        follower: ConfigurationFollower,
        clock: Clock,
    ) -> None:
        self._platform = platform
        self._peers = peers
        self._follower = follower
        self._clock = clock
        self._held: StoredObject | None = None

    async def run(self) -> None:
        """Write what changes until cancelled."""
        while True:
            await self._clock.sleep_until(self._clock.now() + WRITE_EVERY_S)
            if watcher_names(self._peers, 1) != [self._peers.me.name]:
                self._held = None
                continue
            try:
                await self.write()
            except RadishshiftError as exc:
                self._held = None
                logger.info("confirmations not written: {}", exc.message)

    async def write(self) -> None:
        """Write the confirmations if they have changed."""
        status = {"hosts": self._present()}
        if self._held is None:
            self._held = await self._read()
        if self._held is not None and self._held.status == status:
            return
        name = self._peers.me.data_centre
        revision = 0 if self._held is None else self._held.revision
        item = StoredObject(Kind.CONFIRMATION, name, {}, status, revision)
        try:
            if self._held is None:
                self._held = await self._platform.create(item)
            else:
                self._held = await self._platform.update(item)
        except (AlreadyExistsError, ConflictError, NotFoundError):
            self._held = None

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
