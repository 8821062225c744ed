"""Claims: the durable mark that a non-idempotent request is being run."""

import base64
from dataclasses import dataclass

import xxhash

from radishshift.engines import ServiceReply
from radishshift.errors import (
    AlreadyExistsError,
    BadRequestError,
    InProgressError,
)
from radishshift.objects import Kind, StoredObject
from radishshift.platform import Platform
from radishshift.requests import ServiceCall

__all__ = ["Claim", "Claims"]


@dataclass(slots=True)
class Claim:
    """The right of one host to run a request, or what came of it before.

    Attributes
    ----------
    name : str
    item : StoredObject
    recorded : ServiceReply or None
        Answer of an earlier run; the request is then not run again.
    """

    name: str
    item: StoredObject
    recorded: ServiceReply | None = None


class Claims:
    """Claims kept at the platform.

    Parameters
    ----------
    platform : Platform
    host_name : str
    """

    def __init__(self, platform: Platform, host_name: str) -> None:
        self._platform = platform
        self._host_name = host_name

    async def claim(self, call: ServiceCall) -> Claim:
        """Return a claim on a call; it is durable when this returns.

        Raises
        ------
        InProgressError
            The call is running, or may have run with its answer unknown.
        PlatformUnavailableError
        BadRequestError
            The key was used for another call.
        """
        key = f"{call.contract.customer}/{call.idempotency_key}"
        name = xxhash.xxh3_128_hexdigest(key.encode())
        spec = {
            "customer": call.contract.customer,
            "fingerprint": call.fingerprint,
            "host": self._host_name,
        }
        item = StoredObject(Kind.CLAIM_SHARD, name, spec)
        try:
            return Claim(name, await self._platform.create(item))
        except AlreadyExistsError:
            held = await self._platform.get(Kind.CLAIM_SHARD, name)
        if held.spec["fingerprint"] != call.fingerprint:
            raise BadRequestError("this idempotency key was used for another call")
        if "reply" not in held.status:
            raise InProgressError("this call is running or may have run")
        reply = held.status["reply"]
        body = base64.b64decode(reply["body"])
        recorded = ServiceReply(reply["status"], reply["contentType"], body)
        return Claim(name, held, recorded)

    async def record(self, claim: Claim, reply: ServiceReply) -> None:
        """Keep the answer of a claimed call for resends."""
        status = {
            "reply": {
                "status": reply.status,
                "contentType": reply.content_type,
                "body": base64.b64encode(reply.body).decode(),
            }
        }
        held = claim.item
        item = StoredObject(held.kind, held.name, held.spec, status, held.revision)
        claim.item = await self._platform.update(item)

    async def release(self, claim: Claim) -> None:
        """Give up a claim whose call has certainly not run."""
        held = claim.item
        await self._platform.delete(held.kind, held.name, held.revision)
