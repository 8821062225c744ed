"""TLS contexts that reload their certificates and keys when the files change."""

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

RELOAD_CHECK_INTERVAL_S = 5.0

logger = logbook.Logger("tls")


@dataclass(frozen=True, slots=True)
class KeyFiles:
    """Paths of a certificate, its key and the CA of the other side, in PEM format.

    Attributes
    ----------
    certificate_file, key_file : str
        Empty for a client without a certificate.
    ca_file : str
        CA that must have issued the other side's certificate; empty for a port that
        requires no client certificates.
    """

    certificate_file: str = ""
    key_file: str = ""
    ca_file: str = ""

    def file_state(self) -> tuple[int, ...]:
        """Return modification times and inodes; they change when a file is replaced."""
        paths = (self.certificate_file, self.key_file, self.ca_file)
        stats = [Path(path).stat() for path in paths if path]
        return tuple(part for stat in stats for part in (stat.st_mtime_ns, stat.st_ino))

    def load_into(self, context: ssl.SSLContext) -> None:
        """Load the files into a context, for use by new handshakes."""
        if self.certificate_file:
            context.load_cert_chain(self.certificate_file, self.key_file)
        if self.ca_file:
            context.load_verify_locations(self.ca_file)


class ReloadableTls:
    """A TLS context that reloads its files when they are replaced.

    Parameters
    ----------
    files : KeyFiles
    context : ssl.SSLContext
        The context that the files are loaded into.

    Raises
    ------
    SettingsError
        A file is missing or has invalid content.
    """

    def __init__(self, files: KeyFiles, context: ssl.SSLContext) -> None:
        self.files = files
        self.context = context
        try:
            self._file_state = files.file_state()
            files.load_into(context)
        except (OSError, ssl.SSLError) as exc:
            name = files.certificate_file or files.ca_file
            raise SettingsError([f"{name}: {exc}"]) from exc

    def reload(self) -> bool:
        """Reload the files if they were replaced; tell whether they were reloaded."""
        try:
            file_state = self.files.file_state()
            if file_state == self._file_state:
                return False
            self.files.load_into(self.context)
        except (OSError, ssl.SSLError) as exc:
            # A replacement may be half written; the next check tries again.
            logger.warning("could not reload TLS certificate and key: {}", exc)
            return False
        self._file_state = file_state
        logger.info("TLS certificate and key reloaded")
        return True

    async def reload_periodically(self, clock: Clock) -> None:
        """Check the files for changes every few seconds until cancelled."""
        while True:
            await clock.sleep_until(clock.now() + RELOAD_CHECK_INTERVAL_S)
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
    """TLS of outgoing connections, which trust only the CA in `files`.

    Parameters
    ----------
    files : KeyFiles
    """

    def __init__(self, files: KeyFiles) -> None:
        super().__init__(files, ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT))


def client_tls_of(settings: ClientKeySettings | None) -> ClientTls | None:
    """Return the TLS context for outgoing connections, or None without settings.

    Raises
    ------
    SettingsError
    """
    if settings is None:
        return None
    files = KeyFiles(settings.certificate_file, settings.key_file, settings.ca_file)
    return ClientTls(files)


def server_tls_of(settings: ServerKeySettings | None) -> ServerTls | None:
    """Return the TLS context for a listening port, or None without settings.

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
    """Return the `ssl` argument for aiohttp; True, its default, without `tls`."""
    return True if tls is None else tls.context
