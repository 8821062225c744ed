"""Session keys as the platform holds them, made, rotated and loaded by any host.

Time is cut into periods. The key of a period is one object, `key-NUMBER`, created
by whichever host comes first. The next one is created half a period ahead, so that
every host holds it before the first token is signed with it. A key checks tokens
until the last one that it signed has expired.
"""

import secrets

import logbook
import msgspec

from radishshift.clocks import Clock
from radishshift.errors import (
    AlreadyExistsError,
    NotFoundError,
    PlatformUnavailableError,
    RadishshiftError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.sessions import SESSION_DURATION_S, SessionKey, SessionKeys, key_id_of
from radishshift.verdicts import Verdict

__all__ = ["PlatformSessionKeys"]

PERIOD_S = 43_200.0
KEY_BYTES = 32
RELOAD_PAUSE_S = 1.0
POLL_S = 60.0

logger = logbook.Logger("sessions")


class _KeySpec(msgspec.Struct, rename="camel"):
    key: str
    signs_from: float


class PlatformSessionKeys(SessionKeys):
    """Session keys that follow the platform.

    Parameters
    ----------
    platform : Platform
    clock : Clock
    period_s : float
        Time that a key signs, in seconds.
    """

    def __init__(
        self, platform: Platform, clock: Clock, period_s: float = PERIOD_S
    ) -> None:
        super().__init__()
        self._platform = platform
        self._clock = clock
        self._period_s = period_s
        self._reload_at = 0.0

    async def prepare(self, token: str) -> None:
        """Load the keys anew if a token names one that this host lacks.

        At most one load a second is tried, so that forged tokens cost little.
        """
        now = self._clock.now()
        if not token or key_id_of(token) in self.keys or now < self._reload_at:
            return
        self._reload_at = now + RELOAD_PAUSE_S
        await self.try_refresh()

    async def refresh_periodically(self) -> None:
        """Keep the keys fresh until cancelled."""
        while True:
            pause_s = POLL_S if self.keys else RELOAD_PAUSE_S
            await self._clock.sleep_until(self._clock.now() + pause_s)
            await self.try_refresh()

    async def try_refresh(self) -> None:
        """Refresh the keys if the platform is in reach."""
        try:
            await self.refresh()
        except RadishshiftError as exc:
            logger.warning("session keys were not loaded: {}", exc.message)

    async def refresh(self) -> None:
        """Load the keys, make those that are due, drop those that are over.

        Raises
        ------
        PlatformUnavailableError
            The keys held stay in use.
        """
        await self._load()
        now = self._clock.now()
        period = int(now // self._period_s)
        await self._make(period)
        if now >= (period + 0.5) * self._period_s:
            await self._make(period + 1)

    async def _load(self) -> None:
        listing = await self._platform.list_all(Kind.SESSION_KEY)
        keys: dict[str, SessionKey] = {}
        for item in listing.items:
            key = _key(item)
            if self._over(key):
                await self._delete(item)
            else:
                keys[item.name] = key
        # A listing may be stale: what is held and not over stays.
        held = {name: key for name, key in self.keys.items() if not self._over(key)}
        self.keys = held | keys

    def _over(self, key: SessionKey) -> bool:
        last_signed_at = key.signs_from + 2 * self._period_s
        return last_signed_at + SESSION_DURATION_S <= self._clock.now()

    async def _make(self, period: int) -> None:
        name = f"key-{period:010}"
        if name in self.keys:
            return
        spec = _KeySpec(secrets.token_hex(KEY_BYTES), period * self._period_s)
        item = StoredObject(Kind.SESSION_KEY, name, msgspec.to_builtins(spec))
        try:
            held = await self._platform.create(item)
        except AlreadyExistsError:
            held = await self._platform.get(Kind.SESSION_KEY, name)
        except PlatformUnavailableError as exc:
            if exc.verdict is Verdict.NOT_RUN:
                raise
            held = await self._read_back(name, exc)
        self.keys[name] = _key(held)

    async def _read_back(
        self, name: str, cause: PlatformUnavailableError
    ) -> StoredObject:
        try:
            return await self._platform.get(Kind.SESSION_KEY, name)
        except NotFoundError as exc:
            raise cause from exc

    async def _delete(self, item: StoredObject) -> None:
        try:
            await self._platform.delete(item.kind, item.name, item.revision)
        except RadishshiftError as exc:
            logger.info("{} was not deleted: {}", item.name, exc.message)


def _key(item: StoredObject) -> SessionKey:
    spec = msgspec.convert(item.spec, _KeySpec)
    return SessionKey(bytes.fromhex(spec.key), spec.signs_from)
