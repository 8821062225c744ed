"""Crash records stored at the platform, one object for each suspect request."""

import logbook
import msgspec
import xxhash

from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    NotFoundError,
    RadishshiftError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.poison import MAX_CRASHES, POISON_TTL_S, Crash

__all__ = ["PoisonRecords"]

MAX_ATTEMPTS = 3

logger = logbook.Logger("poison")


class _SuspectSpec(msgspec.Struct):
    crashes: list[Crash]


class PoisonRecords:
    """Crash records at the platform, for hosts that cannot be reached directly.

    Parameters
    ----------
    platform : Platform
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def add(self, crash: Crash) -> list[Crash]:
        """Record a crash and return all crashes recorded for its request.

        Raises
        ------
        ConflictError
            Every attempt lost against a concurrent write.
        PlatformUnavailableError
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                return await self._try_to_add(crash)
            except (AlreadyExistsError, ConflictError, NotFoundError):
                continue
        raise ConflictError("the crash record kept changing while it was being updated")

    async def _try_to_add(self, crash: Crash) -> list[Crash]:
        name = xxhash.xxh3_128_hexdigest(crash.fingerprint.encode())
        try:
            stored = await self._platform.get(Kind.POISON, name)
        except NotFoundError:
            await self._platform.create(_to_object(name, [crash], 0))
            return [crash]
        crashes = _crashes_of(stored)
        if crash not in crashes and len(crashes) < MAX_CRASHES:
            crashes.append(crash)
            await self._platform.update(_to_object(name, crashes, stored.revision))
        return crashes

    async def read(self, now: float) -> list[Crash]:
        """Return all recorded crashes and delete records that have expired.

        Raises
        ------
        PlatformUnavailableError
        """
        listing = await self._platform.list_all(Kind.POISON)
        found = []
        for item in listing.items:
            crashes = _crashes_of(item)
            if crashes and all(crash.at + POISON_TTL_S <= now for crash in crashes):
                await self._delete_expired(item)
            else:
                found += crashes
        return found

    async def _delete_expired(self, item: StoredObject) -> None:
        try:
            await self._platform.delete(item.kind, item.name, item.revision)
        except RadishshiftError:
            return


def _to_object(name: str, crashes: list[Crash], revision: int) -> StoredObject:
    spec = msgspec.to_builtins(_SuspectSpec(crashes))
    return StoredObject(Kind.POISON, name, spec, {}, revision)


def _crashes_of(item: StoredObject) -> list[Crash]:
    """Return the crashes of a record, none if it can't be read."""
    try:
        return msgspec.convert(item.spec, _SuspectSpec).crashes
    except msgspec.ValidationError as exc:
        logger.warning("crash record {} ignored: {}", item.name, exc)
        return []
