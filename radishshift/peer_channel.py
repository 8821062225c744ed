"""Client for authenticated messages to other entry hosts over HTTP."""

import asyncio

import aiohttp

from radishshift.clocks import Clock
from radishshift.hosts import Host
from radishshift.peer_messages import SIGNATURE_HEADER, PeerKeys
from radishshift.peers import PeerUnavailableError
from radishshift.verdicts import Verdict

__all__ = ["PeerChannel"]

OMITTED_HEADERS = ("Accept", "Accept-Encoding", "User-Agent", "Content-Type")


class PeerChannel:
    """Sends signed messages to peers and verifies the signatures of their replies.

    Parameters
    ----------
    name : str
        Name of this host.
    keys : PeerKeys
    clock : Clock
    session : aiohttp.ClientSession
    """

    def __init__(
        self, name: str, keys: PeerKeys, clock: Clock, session: aiohttp.ClientSession
    ) -> None:
        self._name = name
        self._keys = keys
        self._clock = clock
        self._session = session

    async def send(self, host: Host, path: str, body: bytes, deadline: float) -> bytes:
        """Send a message to a host's peer port and return the reply.

        Raises
        ------
        PeerUnavailableError
        PeerAuthenticationError
        """
        now = self._clock.now()
        signature = self._keys.sign(self._name, f"{host.name} {path}", body, now)
        try:
            async with (
                asyncio.timeout(max(0.0, deadline - now)),
                self._session.post(
                    host.peer_address + path,
                    data=body,
                    headers={SIGNATURE_HEADER: signature},
                    skip_auto_headers=OMITTED_HEADERS,
                ) as resp,
            ):
                reply = await resp.read()
                if resp.status != 200:
                    raise PeerUnavailableError(
                        f"host {host.name} answered {resp.status}"
                    )
                reply_signature = resp.headers.get(SIGNATURE_HEADER, "")
        except aiohttp.ClientConnectorError as exc:
            raise PeerUnavailableError(
                f"can't connect to host {host.name}", verdict=Verdict.NOT_RUN
            ) from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            raise PeerUnavailableError(f"no reply from host {host.name}") from exc
        self._keys.verify(reply_signature, signature, reply, self._clock.now())
        return reply
