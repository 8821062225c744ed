"""Writes whose reply may be lost, settled by reading back."""

from radishshift.errors import (
    AlreadyExistsError,
    ConflictError,
    NotFoundError,
    PlatformUnavailableError,
)
from radishshift.objects import StoredObject
from radishshift.platform import Platform
from radishshift.verdicts import Verdict

__all__ = ["write_and_verify"]


async def write_and_verify(platform: Platform, item: StoredObject) -> StoredObject:
    """Create an object of revision 0, or update one; return it as stored.

    A lost reply is settled by reading the object: if it holds what was to be
    written, the write took effect. What is written must hold something that only
    this writer writes, such as its name and a number.

    Raises
    ------
    AlreadyExistsError, ConflictError, NotFoundError
        The write did not take effect, and another's did.
    PlatformUnavailableError
        Not run, or with `MAY_HAVE_RUN` if reading back failed too.
    """
    try:
        if item.revision:
            return await platform.update(item)
        return await platform.create(item)
    except (AlreadyExistsError, ConflictError):
        held = await platform.get(item.kind, item.name)
        if _same(held, item):
            return held
        raise
    except PlatformUnavailableError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            raise
        return await _read_back(platform, item, exc)


async def _read_back(
    platform: Platform, item: StoredObject, cause: PlatformUnavailableError
) -> StoredObject:
    try:
        held = await platform.get(item.kind, item.name)
    except NotFoundError as exc:
        # The write may still be on its way: nothing is known yet.
        raise cause from exc
    except PlatformUnavailableError as exc:
        raise cause from exc
    if _same(held, item):
        return held
    if held.revision == item.revision:
        raise cause
    raise ConflictError(
        f"{item.kind} {item.name} is at revision {held.revision}, "
        f"written by {held.writer or 'someone'}"
    )


def _same(held: StoredObject, item: StoredObject) -> bool:
    return held.spec == item.spec and held.status == item.status
