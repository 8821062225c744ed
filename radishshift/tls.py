"""TLS contexts whose keys are read again when their files are replaced."""

import asyncio
import ssl
from dataclasses import dataclass, field
from pathlib import Path

import logbook

from radishshift.clocks import Clock
from radishshift.errors import SettingsError
from radishshift.settings import ClientKeySettings, ServerKeySettings

__all__ = [
    "KeyFiles",
    "ServerTls",
    "client_context",
    "client_context_of",
    "server_tls_of",
]

LOOK_S = 5.0

logger = logbook.Logger("tls")


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """Where a certificate and its key are.

    Attributes
    ----------
    certificate_file, key_file : str
        In PEM form.
    client_ca_file : str
        CA that clients' certificates must come from; empty asks for none.
    """

    certificate_file: str
    key_file: str
    client_ca_file: str = ""

    def stamp(self) -> tuple[int, ...]:
        """Return what changes when a file is replaced."""
        paths = [Path(self.certificate_file), Path(self.key_file)]
        stats = [path.stat() for path in paths]
        return tuple(part for stat in stats for part in (stat.st_mtime_ns, stat.st_ino))


def client_context(
    ca_file: str, certificate_file: str = "", key_file: str = ""
) -> ssl.SSLContext:
    """Return a context for connections that we open.

    Raises
    ------
    SettingsError
        A file is missing or holds no certificate.
    """
    try:
        context = ssl.create_default_context(cafile=ca_file or None)
        if certificate_file:
            context.load_cert_chain(certificate_file, key_file)
    except (OSError, ssl.SSLError) as exc:
        raise SettingsError([f"{ca_file or certificate_file}: {exc}"]) from exc
    return context


@dataclass(slots=True)
class ServerTls:
    """The context of a listening port; new handshakes use the newest key."""

    files: KeyFiles
    context: ssl.SSLContext = field(init=False)
    _stamp: tuple[int, ...] = field(init=False)

    def __post_init__(self) -> None:
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        try:
            self._load()
            if self.files.client_ca_file:
                self.context.load_verify_locations(self.files.client_ca_file)
                self.context.verify_mode = ssl.CERT_REQUIRED
        except (OSError, ssl.SSLError) as exc:
            raise SettingsError([f"{self.files.certificate_file}: {exc}"]) from exc

    def _load(self) -> None:
        stamp = self.files.stamp()
        self.context.load_cert_chain(self.files.certificate_file, self.files.key_file)
        self._stamp = stamp

    def reload(self) -> bool:
        """Read the key again if its files were replaced; tell whether it was."""
        try:
            if self.files.stamp() == self._stamp:
                return False
            self._load()
        except (OSError, ssl.SSLError) as exc:
            # A replacement that is half done is seen whole at the next look.
            logger.warning("TLS key not reloaded: {}", exc)
            return False
        logger.info("TLS key reloaded")
        return True

    async def keep_fresh(self, clock: Clock) -> None:
        """Look at the files every few seconds until cancelled."""
        while True:
            await clock.sleep_until(clock.now() + LOOK_S)
            await asyncio.to_thread(self.reload)


def client_context_of(settings: ClientKeySettings | None) -> ssl.SSLContext | bool:
    """Return the context that settings ask for; without settings, aiohttp's own.

    Raises
    ------
    SettingsError
    """
    if settings is None:
        return True
    return client_context(
        settings.ca_file, settings.certificate_file, settings.key_file
    )


def server_tls_of(settings: ServerKeySettings | None) -> ServerTls | None:
    """Return the keys of a port that settings ask for, or None.

    Raises
    ------
    SettingsError
    """
    if settings is None:
        return None
    files = KeyFiles(
        settings.certificate_file, settings.key_file, settings.client_ca_file
    )
    return ServerTls(files)
