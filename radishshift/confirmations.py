"""Confirmations of the configuration revision that each host has in force.

The hosts of a data centre report their revisions to those that contend for the duty of
confirmations. The one that holds the duty writes the revisions to one object at the
platform; `unconfirmed_hosts` reads the objects of all data centres.
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
REPORT_INTERVAL_S = 0.5
REPORT_TIMEOUT_S = 1.0
CONFIRMATION_WRITE_INTERVAL_S = 1.0


class _RevisionReport(msgspec.Struct, array_like=True):
    at_ms: int
    revision: int


async def unconfirmed_hosts(platform: Platform, revision: int) -> list[str]:
    """Return the hosts that have not confirmed `revision`.

    An empty list means that it is in force everywhere.

    Every host on the platform's list or in a confirmation object has to confirm. A
    host that is removed from the list is waited for only while its data centre still
    reports it.

    Raises
    ------
    PlatformUnavailableError
    """
    listed = {item.name for item in (await platform.list_all(Kind.HOST)).items}
    confirmed: dict[str, int] = {}
    for item in (await platform.list_all(Kind.CONFIRMATION)).items:
        for name, in_force in item.status.get("hosts", {}).items():
            confirmed[name] = max(in_force, confirmed.get(name, 0))
    return sorted(_hosts_behind(listed, confirmed, revision))


def _hosts_behind(
    listed: set[str], confirmed: dict[str, int], revision: int
) -> Iterator[str]:
    for name in listed | confirmed.keys():
        if confirmed.get(name, 0) < revision:
            yield name


class Confirmations:
    """Collects the revisions of a data centre's hosts and writes them to the platform.

    Each host reports directly to the two hosts that contend for the duty. With gossip,
    a change would cost every host one row for each other host.

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
        self._reports: dict[str, _RevisionReport] = {}
        self._acknowledged: dict[str, tuple[int, int]] = {}
        self._stored: StoredObject | None = None
        self._fencing_number = 0
        peers.handle(TOPIC, self._handle_report)

    async def run(self) -> None:
        """Report each new revision to the contenders until cancelled."""
        while True:
            pause_s = REPORT_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            await self._clock.sleep_until(self._clock.now() + pause_s)
            await self._send_report()

    async def _send_report(self) -> None:
        now = self._clock.now()
        me = self._peers.me
        report = _RevisionReport(int(now * 1000), self._configuration.revision)
        self._reports[me.name] = report
        names = contenders(self._peers, f"{CONFIRMATIONS_DUTY}.{me.data_centre}")
        incarnations = {host.name: host.incarnation for host in self._peers.hosts()}
        for name in names:
            expected = (incarnations.get(name, 0), report.revision)
            if name == me.name or self._acknowledged.get(name) == expected:
                continue
            message = msgspec.json.encode(report)
            with suppress(RadishshiftError):
                await self._peers.call(name, TOPIC, message, now + REPORT_TIMEOUT_S)
                self._acknowledged[name] = expected

    async def _handle_report(self, sender: str, message: bytes) -> bytes:
        report = msgspec.json.decode(message, type=_RevisionReport)
        stored = self._reports.get(sender)
        if stored is None or stored.at_ms < report.at_ms:
            self._reports[sender] = report
        return b""

    async def write(self, fencing_number: int) -> None:
        """Write the confirmations if they have changed.

        This is the action of the confirmations duty.
        """
        if self._stored is None or fencing_number != self._fencing_number:
            self._stored = await self._read_stored()
            self._fencing_number = fencing_number
        stored = self._stored
        revision = 0
        if stored is not None:
            revision = stored.revision
            if stored.spec.get("fencingNumber", 0) > fencing_number:
                return
        spec = {"fencingNumber": fencing_number}
        status = {"hosts": self._current_revisions()}
        if stored is not None and (stored.spec, stored.status) == (spec, status):
            return
        name = self._peers.me.data_centre
        item = StoredObject(Kind.CONFIRMATION, name, spec, status, revision)
        self._stored = None
        with suppress(AlreadyExistsError, ConflictError, NotFoundError):
            self._stored = await self._write_stored(item)

    async def _write_stored(self, item: StoredObject) -> StoredObject:
        if item.revision:
            return await self._platform.update(item)
        return await self._platform.create(item)

    def _current_revisions(self) -> dict[str, int]:
        # A restarted host has to confirm again: reports of its old process are dropped.
        started_at_ms = {host.name: host.incarnation for host in self._peers.hosts()}
        started_at_ms[self._peers.me.name] = 0
        self._reports = {
            name: report
            for name, report in self._reports.items()
            if name in started_at_ms and report.at_ms >= started_at_ms[name]
        }
        return {name: report.revision for name, report in sorted(self._reports.items())}

    async def _read_stored(self) -> StoredObject | None:
        try:
            return await self._platform.get(
                Kind.CONFIRMATION, self._peers.me.data_centre
            )
        except NotFoundError:
            return None
