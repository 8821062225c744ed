"""TLS contexts whose keys are read again when their files are replaced."""

import asyncio
import ssl
from dataclasses import dataclass
from pathlib import Path

import logbook

from radishshift.clocks import Clock
from radishshift.errors import SettingsError
from radishshift.settings import ClientKeySettings, ServerKeySettings

__all__ = [
    "ClientTls",
    "KeyFiles",
    "ReloadableTls",
    "ServerTls",
    "client_tls_of",
    "context_of",
    "server_tls_of",
]

LOOK_S = 5.0

logger = logbook.Logger("tls")


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """Where a certificate, its key and the CA of the other end are, in PEM form.

    Attributes
    ----------
    certificate_file, key_file : str
        Empty for a client that shows none.
    ca_file : str
        CA that the other end's certificate must come from; empty for a port that
        asks clients for none.
    """

    certificate_file: str = ""
    key_file: str = ""
    ca_file: str = ""

    def stamp(self) -> tuple[int, ...]:
        """Return what changes when a file is replaced."""
        paths = (self.certificate_file, self.key_file, self.ca_file)
        stats = [Path(path).stat() for path in paths if path]
        return tuple(part for stat in stats for part in (stat.st_mtime_ns, stat.st_ino))

    def load_into(self, context: ssl.SSLContext) -> None:
        """Read the files; new handshakes use them."""
        if self.certificate_file:
            context.load_cert_chain(self.certificate_file, self.key_file)
        if self.ca_file:
            context.load_verify_locations(self.ca_file)


class ReloadableTls:
    """A TLS context whose files are read again when they are replaced.

    Parameters
    ----------
    files : KeyFiles
    context : ssl.SSLContext
        Gets what the files hold.

    Raises
    ------
    SettingsError
        A file is missing or does not hold what it should.
    """

    def __init__(self, files: KeyFiles, context: ssl.SSLContext) -> None:
        self.files = files
        self.context = context
        try:
            self._stamp = files.stamp()
            files.load_into(context)
        except (OSError, ssl.SSLError) as exc:
            name = files.certificate_file or files.ca_file
            raise SettingsError([f"{name}: {exc}"]) from exc

    def reload(self) -> bool:
        """Read the files again if they were replaced; tell whether they were."""
        try:
            stamp = self.files.stamp()
            if stamp == self._stamp:
                return False
            self.files.load_into(self.context)
        except (OSError, ssl.SSLError) as exc:
            # A replacement that is half done is seen whole at the next look.
            logger.warning("TLS key not reloaded: {}", exc)
            return False
        self._stamp = stamp
        logger.info("TLS key reloaded")
        return True

    async def reload_periodically(self, clock: Clock) -> None:
        """Look at the files every few seconds until cancelled."""
        while True:
            await clock.sleep_until(clock.now() + LOOK_S)
            await asyncio.to_thread(self.reload)


class ServerTls(ReloadableTls):
    """TLS of a listening port.

    Parameters
    ----------
    files : KeyFiles
    """

    def __init__(self, files: KeyFiles) -> None:
        super().__init__(files, ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER))
        if files.ca_file:
            self.context.verify_mode = ssl.CERT_REQUIRED


class ClientTls(ReloadableTls):
    """TLS of connections that we open; only the CA of the files is trusted.

    Parameters
    ----------
    files : KeyFiles
    """

    def __init__(self, files: KeyFiles) -> None:
        super().__init__(files, ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))


def client_tls_of(settings: ClientKeySettings | None) -> ClientTls | None:
    """Return the TLS that settings ask for, or None.

    Raises
    ------
    SettingsError
    """
    if settings is None:
        return None
    files = KeyFiles(settings.certificate_file, settings.key_file, settings.ca_file)
    return ClientTls(files)


def server_tls_of(settings: ServerKeySettings | None) -> ServerTls | None:
    """Return the TLS of a port that settings ask for, or None.

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


def context_of(tls: ReloadableTls | None) -> ssl.SSLContext | bool:
    """Return what aiohttp takes as `ssl`; without TLS of ours, its own."""
    return True if tls is None else tls.context
