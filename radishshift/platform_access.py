"""Connection of the operators' command-line programs to the platform."""

import os
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from absl import app, flags

from radishshift.http_client import checked_connector
from radishshift.http_platform import HttpPlatform
from radishshift.platform import Platform
from radishshift.tls import ClientTls, KeyFiles, context_of
from radishshift.validation import read_text_file

__all__ = ["connect_to_platform", "define_platform_flags"]

FLAGS = flags.FLAGS
PLATFORM_VARIABLE = "RADISHSHIFT_PLATFORM"


def define_platform_flags() -> None:
    """Define the flags for the platform's address and credentials."""
    flags.DEFINE_string("platform", None, "Base URL of the platform's object API.")
    flags.DEFINE_string("token_file", None, "File with the operator's bearer token.")
    flags.DEFINE_string("ca_file", None, "File with the platform's CA certificates.")


@asynccontextmanager
async def connect_to_platform(
    writer: str, call_timeout_s: float
) -> AsyncIterator[Platform]:
    """Yield a client of the platform that the flags or the environment name.

    Parameters
    ----------
    writer : str
        Name recorded as the writer of each object.
    call_timeout_s : float
        Timeout of one call.

    Raises
    ------
    app.UsageError
        Neither the flag nor the environment variable names a platform.
    SettingsError
        A file cannot be read.
    """
    address = FLAGS.platform or os.environ.get(PLATFORM_VARIABLE)
    if not address:
        raise app.UsageError(
            f"platform address is missing: pass --platform or set {PLATFORM_VARIABLE}"
        )
    headers = {}
    if FLAGS.token_file:
        token = read_text_file(FLAGS.token_file).strip()
        headers["Authorization"] = f"Bearer {token}"
    tls = ClientTls(KeyFiles(ca_file=FLAGS.ca_file)) if FLAGS.ca_file else None
    connector = checked_connector(ssl=context_of(tls))
    async with aiohttp.ClientSession(connector=connector, headers=headers) as session:
        yield HttpPlatform(session, address, writer, call_timeout_s)
