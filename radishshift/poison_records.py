"""Crashes as the platform holds them, one object for each suspect."""

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

TRIES = 3


class _SuspectSpec(msgspec.Struct):
    crashes: list[Crash]


class PoisonRecords:
    """Crashes kept at the platform for hosts that can't be told.

    Parameters
    ----------
    platform : Platform
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform

    async def add(self, crash: Crash) -> list[Crash]:
        """Record a crash; return all that are recorded of its request.

        Raises
        ------
        ConflictError
            Others write all the time.
        PlatformUnavailableError
        """
        for _ in range(TRIES):
            try:
                return await self._try_to_add(crash)
            except (AlreadyExistsError, ConflictError, NotFoundError):
                continue
        raise ConflictError("others write this suspect all the time")

    async def _try_to_add(self, crash: Crash) -> list[Crash]:
        name = xxhash.xxh3_128_hexdigest(crash.fingerprint.encode())
        try:
            held = await self._platform.get(Kind.POISON, name)
        except NotFoundError:
            await self._platform.create(_item(name, [crash], 0))
            return [crash]
        crashes = _crashes(held)
        if crash not in crashes and len(crashes) < MAX_CRASHES:
            crashes.append(crash)
            await self._platform.update(_item(name, crashes, held.revision))
        return crashes

    async def read(self, now: float) -> list[Crash]:
        """Return all crashes recorded, and drop those that are over.

        Raises
        ------
        PlatformUnavailableError
        """
        listing = await self._platform.list_all(Kind.POISON)
        found = []
        for item in listing.items:
            crashes = _crashes(item)
            if all(crash.at + POISON_TTL_S <= now for crash in crashes):
                await self._drop(item)
            else:
                found += crashes
        return found

    async def _drop(self, item: StoredObject) -> None:
        try:
            await self._platform.delete(item.kind, item.name, item.revision)
        except RadishshiftError:
            return


def _item(name: str, crashes: list[Crash], revision: int) -> StoredObject:
    spec = msgspec.to_builtins(_SuspectSpec(crashes))
    return StoredObject(Kind.POISON, name, spec, {}, revision)


def _crashes(item: StoredObject) -> list[Crash]:
    return msgspec.convert(item.spec, _SuspectSpec).crashes
