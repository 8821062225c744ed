"""The verb `explain`: where a request would go now, by the view of some hosts."""

import asyncio
from typing import Any

import aiohttp
import msgspec
from absl import app, flags

from radishshift.errors import SettingsError
from radishshift.gateway.explanations import PATH, Explanation, Question
from radishshift.http_client import checked_connector
from radishshift.platform import Platform
from radishshift.tables import format_table
from radishshift.validation import read_commented_json, read_text_file
from radishshift.verbs import LOCAL_VERBS, ExitCode, Report, verb

__all__ = ["ask_host", "explain_report", "read_question"]

FLAGS = flags.FLAGS

LOCAL_VERBS.add("explain")

HEADINGS = (
    "ENDPOINT",
    "DATA CENTRE",
    "TOTAL S",
    "OWN",
    "SAVED",
    "LOAD",
    "SLOWNESS",
    "COPY",
    "REMOTE",
    "FAILURES",
    "LEFT OUT",
)


def read_question(path: str) -> Question:
    """Read the request to explain from a JSON file with comments.

    Raises
    ------
    SettingsError
    """
    values = read_commented_json(read_text_file(path), path)
    try:
        return msgspec.convert(values, Question)
    except msgspec.ValidationError as exc:
        raise SettingsError([f"{path}: {exc}"]) from exc


async def ask_host(
    session: aiohttp.ClientSession, address: str, question: Question
) -> Explanation | str:
    """Ask one host; return its explanation, or why there is none.

    Parameters
    ----------
    address : str
        IP:PORT at which the host serves its metrics.
    """
    try:
        async with session.post(
            f"http://{address}{PATH}", data=msgspec.json.encode(question)
        ) as resp:
            if resp.status != 200:
                return f"status {resp.status}"
            return msgspec.json.decode(await resp.read(), type=Explanation)
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as exc:
        return repr(exc)


def explain_report(replies: dict[str, Explanation | str]) -> Report:
    """Return the report on the replies of hosts, by address."""
    values: list[dict[str, Any]] = []
    texts = []
    codes = []
    for address, reply in replies.items():
        if isinstance(reply, str):
            values.append({"address": address, "unanswered": reply})
            texts.append(f"{address} does not answer: {reply}")
            codes.append(ExitCode.UNAVAILABLE)
            continue
        values.append({"address": address} | msgspec.to_builtins(reply))
        texts.append(_text(reply))
        codes.append(ExitCode.REJECTED if reply.error else ExitCode.DONE)
    code = next((code for code in codes if code is not ExitCode.DONE), ExitCode.DONE)
    return Report(values, "\n\n".join(texts), code)


def _text(reply: Explanation) -> str:
    lines = [
        f"{reply.answered_by}: configuration {reply.configuration}, "
        f"route {reply.route or '-'}, customer {reply.customer or '-'}, "
        f"service {reply.service or '-'}, version {reply.version or 'any'}, "
        f"model {reply.model or '-'}, {reply.time_left_s} s left"
    ]
    if reply.error:
        after = "" if reply.retry_after_s is None else f", {reply.retry_after_s:.2f} s"
        lines.append(f"rejected: {reply.error} ({reply.reason}){after}")
    else:
        lines.append(f"goes to {reply.endpoint}")
    if reply.coordinator:
        lines.append(f"unless the coordinator {reply.coordinator} names another")
    if reply.loads_age_s is not None:
        lines.append(f"oldest load that counts: {reply.loads_age_s} s")
    rows = [
        (
            each.endpoint,
            each.data_centre,
            each.total_s,
            each.own_s,
            each.saved_s,
            each.load_s,
            each.slowness,
            each.copy_s,
            each.remote_s,
            each.failures_s,
            each.left_out or "-",
        )
        for each in reply.endpoints
    ]
    return "\n".join([*lines, format_table(HEADINGS, rows)] if rows else lines)


@verb("explain")
async def _explain(_: Platform, args: list[str]) -> Report:
    """Explain FILE IP:PORT...: show where hosts would send a request, and why."""
    if len(args) < 2:
        raise app.UsageError("this verb takes a file and the addresses of hosts")
    path, *addresses = args
    question = read_question(path)
    timeout = aiohttp.ClientTimeout(total=FLAGS.timeout_s)
    async with aiohttp.ClientSession(
        connector=checked_connector(), timeout=timeout
    ) as session:
        replies = await asyncio.gather(
            *(ask_host(session, address, question) for address in addresses)
        )
    return explain_report(dict(zip(addresses, replies, strict=True)))
