"""Writes to the platform that are verified by a read when the reply is lost."""

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
    """Create an object of revision 0 or update another; return it as stored.

    If the reply is lost, the object is read back: when its content is what was to be
    written, the write took effect. So the content must include something unique to
    this write, such as the writer's name and a sequence number.

    Raises
    ------
    AlreadyExistsError, ConflictError, NotFoundError
        The write did not take effect, but that of another writer did.
    PlatformUnavailableError
        The write did not run or, with the verdict `MAY_HAVE_RUN`, its outcome is
        unknown even after the read.
    """
    try:
        if item.revision:
            return await platform.update(item)
        return await platform.create(item)
    except (AlreadyExistsError, ConflictError):
        stored = await platform.get(item.kind, item.name)
        if _same_content(stored, item):
            return stored
        raise
    except PlatformUnavailableError as exc:
        if exc.verdict is Verdict.NOT_RUN:
            raise
        return await _read_back(platform, item, exc)


async def _read_back(
    platform: Platform, item: StoredObject, cause: PlatformUnavailableError
) -> StoredObject:
    try:
        stored = await platform.get(item.kind, item.name)
    except NotFoundError as exc:
        # The write may still be in flight, so its outcome is unknown.
        raise cause from exc
    except PlatformUnavailableError as exc:
        raise cause from exc
    if _same_content(stored, item):
        return stored
    if stored.revision == item.revision:
        raise cause
    raise ConflictError(
        f"{item.kind} {item.name} is at revision {stored.revision}, "
        f"written by {stored.writer or 'someone'}"
    )


def _same_content(stored: StoredObject, item: StoredObject) -> bool:
    return stored.spec == item.spec and stored.status == item.status
