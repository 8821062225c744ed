"""Session keys stored at the platform; any host creates, rotates and loads them.

Time is divided into signing periods. Each period has one key object, `key-NUMBER`,
created by the first host that needs it. The next key is created half a period ahead,
so that every host has loaded it before any token is signed with it. A key verifies
tokens until the last token that it signed has expired.
"""

import secrets
from typing import Annotated

import logbook
import msgspec

from radishshift.clocks import Clock
from radishshift.errors import (
    AlreadyExistsError,
    NotFoundError,
    PlatformUnavailableError,
    RadishshiftError,
    UnreadableObjectError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.sessions import SESSION_DURATION_S, SessionKey, SessionKeys, key_id_of
from radishshift.verdicts import Verdict

__all__ = ["PlatformSessionKeys"]

SIGNING_PERIOD_S = 43_200.0
KEY_BYTES = 32
MIN_RELOAD_INTERVAL_S = 1.0
REFRESH_INTERVAL_S = 60.0

logger = logbook.Logger("sessions")


class _KeySpec(msgspec.Struct, rename="camel"):
    key: Annotated[str, msgspec.Meta(pattern=f"^[0-9a-f]{{{2 * KEY_BYTES}}}$")]
    signs_from: float


class PlatformSessionKeys(SessionKeys):
    """Session keys that are kept synchronized with the platform.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    period_s : float
        How long a key signs before the next takes over, in seconds.
    """

    def __init__(
        self, platform: Platform, clock: Clock, period_s: float = SIGNING_PERIOD_S
    ) -> None:
        super().__init__()
        self._platform = platform
        self._clock = clock
        self._period_s = period_s
        self._next_reload_at = 0.0

    async def prepare(self, token: str) -> None:
        """Reload the keys if a token names one that this host lacks.

        Reloads are limited to one a second, so that forged tokens cost little.
        """
        now = self._clock.now()
        if not token or key_id_of(token) in self.keys or now < self._next_reload_at:
            return
        self._next_reload_at = now + MIN_RELOAD_INTERVAL_S
        await self.try_refresh()

    async def refresh_periodically(self) -> None:
        """Refresh the keys periodically until cancelled."""
        while True:
            pause_s = REFRESH_INTERVAL_S if self.keys else MIN_RELOAD_INTERVAL_S
            await self._clock.sleep_until(self._clock.now() + pause_s)
            await self.try_refresh()

    async def try_refresh(self) -> None:
        """Refresh the keys; log a failure and keep the current ones."""
        try:
            await self.refresh()
        except RadishshiftError as exc:
            logger.warning("failed to refresh session keys: {}", exc.message)

    async def refresh(self) -> None:
        """Load the keys, create those that are due and delete expired ones.

        Raises
        ------
        PlatformUnavailableError, UnreadableObjectError
            The keys loaded so far stay in use.
        """
        await self._load()
        now = self._clock.now()
        period = int(now // self._period_s)
        await self._ensure_key(period)
        if now >= (period + 0.5) * self._period_s:
            await self._ensure_key(period + 1)

    async def _load(self) -> None:
        listing = await self._platform.list_all(Kind.SESSION_KEY)
        keys: dict[str, SessionKey] = {}
        for item in listing.items:
            try:
                key = _parse_key(item)
            except UnreadableObjectError as exc:
                logger.warning("session key ignored: {}", exc.message)
                continue
            if self._is_expired(key):
                await self._delete_expired(item)
            else:
                keys[item.name] = key
        # A listing may be stale, so keys that it lacks are kept until they expire.
        unexpired = {
            name: key for name, key in self.keys.items() if not self._is_expired(key)
        }
        self.keys = unexpired | keys

    def _is_expired(self, key: SessionKey) -> bool:
        last_signed_at = key.signs_from + 2 * self._period_s
        return last_signed_at + SESSION_DURATION_S <= self._clock.now()

    async def _ensure_key(self, period: int) -> None:
        name = f"key-{period:010}"
        if name in self.keys:
            return
        spec = _KeySpec(secrets.token_hex(KEY_BYTES), period * self._period_s)
        item = StoredObject(Kind.SESSION_KEY, name, msgspec.to_builtins(spec))
        try:
            stored = await self._platform.create(item)
        except AlreadyExistsError:
            stored = await self._platform.get(Kind.SESSION_KEY, name)
        except PlatformUnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                raise
            stored = await self._read_back(name, exc)
        self.keys[name] = _parse_key(stored)

    async def _read_back(
        self, name: str, cause: PlatformUnavailableError
    ) -> StoredObject:
        try:
            return await self._platform.get(Kind.SESSION_KEY, name)
        except NotFoundError as exc:
            raise cause from exc

    async def _delete_expired(self, item: StoredObject) -> None:
        try:
            await self._platform.delete(item.kind, item.name, item.revision)
        except RadishshiftError as exc:
            logger.info(
                "failed to delete expired session key {}: {}", item.name, exc.message
            )


def _parse_key(item: StoredObject) -> SessionKey:
    try:
        spec = msgspec.convert(item.spec, _KeySpec)
    except msgspec.ValidationError as exc:
        raise UnreadableObjectError(f"session key {item.name}: {exc}") from exc
    return SessionKey(bytes.fromhex(spec.key), spec.signs_from)
