"""A request that crashes the replicas which run it, beside sound streams."""

import asyncio
import math
import random
import socket
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from world import (
    Channel,
    Host,
    Record,
    Request,
    Server,
    Store,
    base_config,
    route,
    trouble,
)

__all__ = ["Terms", "poison_case"]

DOWN_S = 2.5  # "the replica is back after some seconds"
TRAFFIC_S = 40.0
CONTACT_S = 3.0
EVENT_S = 0.1
POISON_EVENTS = 150
PART_TOKENS = 40  # of the parts that a sound prompt has of its own
POISON = "/season-plan/poison"
RULE_MOST = 3


@dataclass(frozen=True)
class Terms:
    """What differs between the cases.

    Attributes
    ----------
    crash_after_s : float
        Time after which a replica crashes that has begun to run the poison.
    sound_per_s : float
        Sound streams a second.
    sound_parts : int
        Parts of the prompt of a sound stream.
    sound_events : int
    poison_every_s : float
        Pause after which the poison comes again.
    hosts, replicas : int
    dark : bool
        Whether a replica that crashes falls silent, in place of refusing connections.
    """

    crash_after_s: float
    sound_per_s: float
    sound_parts: int
    sound_events: int
    poison_every_s: float = 3.0
    hosts: int = 2
    replicas: int = 6
    dark: bool = False


class Replica(Server):
    """A replica that crashes while it runs the poison, and comes back."""

    def __init__(self, name: str, store: Store, record: Record, terms: Terms) -> None:
        super().__init__(name, "mkulima-llm", self.stream)
        self._terms = terms
        self._store = store
        self._record = record
        self._restart: asyncio.Task | None = None
        self.silent = False
        self.poison_at: list[tuple[float, str]] = []  # when, and the attempt's id
        self.crashed_at: list[float] = []

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> None:
        while self.silent:  # nothing reaches it; the channel ends as it comes back
            await asyncio.sleep(EVENT_S)
        await super()._answer(request, writer)

    async def stream(self, request: Request, writer: asyncio.StreamWriter) -> None:
        """Answer with a stream."""
        poison = request.target == POISON
        request_id = request.headers["x-attempt-id"]
        what = "the poison" if poison else "a sound stream"
        self._record.add(f"replica {self.name} runs {what}, {request_id}")
        if poison:
            self.poison_at.append((time.monotonic(), request_id))
            if trouble():
                loop = asyncio.get_running_loop()
                loop.call_later(self._terms.crash_after_s, self.crash)
        lines = ["Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        writer.write(self.head(request, *lines))
        first = int(request.headers.get("last-event-id", "0")) + 1
        last = POISON_EVENTS if poison else self._terms.sound_events
        for number in range(first, last + 1):
            event = f"id: {number}\ndata: tokens\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            while self.silent:
                await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")

    def crash(self) -> None:
        """Be down, until the replica is back as a new boot."""
        if self._listener is None:
            return
        self.crashed_at.append(time.monotonic())
        self._record.add(f"replica {self.name} crashes")
        self._listener.close()
        self._listener = None
        if self._terms.dark:
            self.silent = True
        else:
            self._end_channels()
        self._restart = asyncio.create_task(self._come_back())

    def _end_channels(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    async def _come_back(self) -> None:
        ip, port = self.address.split(":")
        # Bound without listening: connections are refused, nobody takes the port.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((ip, int(port)))
        fillers = []
        if self._terms.dark:
            # Nobody accepts, and the queue is full: connections are not answered.
            sock.listen(0)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((ip, int(port)))
                fillers.append(filler)
        await asyncio.sleep(DOWN_S)
        self._end_channels()
        for each in (*fillers, sock):
            each.close()
        self.silent = False
        self.born = round(time.time() * 1000)
        self._listener = await asyncio.start_server(self._serve, ip, int(port))
        self._store.register(self)

    async def stop(self) -> None:
        """Stop for good."""
        if self._restart is not None:
            self._restart.cancel()
        if self._listener is not None:
            await super().stop()


class Consumers:
    """Consumers that send streams to hosts, each over a new channel."""

    def __init__(self, hosts: list[Host], record: Record, terms: Terms) -> None:
        self._hosts = hosts
        self._record = record
        self._terms = terms
        self.counts: dict[str, int] = {}

    async def play(self) -> None:
        """Send the sound streams and the poison, and await all answers."""
        began_at = time.monotonic()
        terms = self._terms
        tasks = []
        sound = poison = 0
        while (elapsed_s := time.monotonic() - began_at) < TRAFFIC_S:
            if elapsed_s >= sound / terms.sound_per_s:
                sound += 1
                sending = self._send(sound, f"/season-plan/{sound}")
                tasks.append(asyncio.create_task(sending))
            if elapsed_s >= (poison + 0.5) * terms.poison_every_s:
                poison += 1
                tasks.append(asyncio.create_task(self._send(poison, POISON)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)

    async def _send(self, number: int, target: str) -> None:
        host = self._hosts[number % len(self._hosts)]
        request_id = f"{random.getrandbits(64):016x}"
        what = "poison" if target == POISON else "sound stream"
        tokens, prefix = self._prompt(target)
        channel = Channel(host)
        await channel.open()
        self._record.add(f"{what} {request_id} is sent to {host.name}")
        channel.send(
            "POST",
            target,
            request_id,
            b"the same body",
            X_Model="daka510000",
            X_Token_Usage=f"{tokens},80",
            X_Prefix_Hash=prefix,
            X_Deadline_Ms="25000",
        )
        answer = await channel.receive()
        channel.close()
        outcome = f"{answer.status}{'' if answer.complete else ' cut'}"
        self._record.add(f"{what} {request_id} is answered {outcome}")
        name = f"{what}: {outcome}"
        self.counts[name] = self.counts.get(name, 0) + 1

    def _prompt(self, target: str) -> tuple[int, str]:
        """Return the tokens of a prompt, and its parts."""
        parts = [("5c1e07a2", 800)]
        if target == POISON:
            parts.append(("91bd3f06", 410))
        else:
            for _ in range(self._terms.sound_parts - 2):
                parts.append((f"{random.getrandbits(32):08x}", PART_TOKENS))
        parts.append(("e4402b7d", 250))
        prefix = ",".join(f"{digest}:{tokens}" for digest, tokens in parts)
        return sum(tokens for _, tokens in parts), prefix


async def poison_case(record: Record, terms: Terms) -> int:
    """Run a case; return the exit code."""
    random.seed(73)
    store = Store()
    await store.start(base_config([route("season-plan", "streaming", "mkulima-llm")]))
    replicas = [
        Replica(f"i-{n:08x}", store, record, terms) for n in range(terms.replicas)
    ]
    for replica in replicas:
        await replica.start()
        store.register(replica)
    with tempfile.TemporaryDirectory() as folder:
        hosts = [
            Host(f"edge-mbeya-{number}", store.address, Path(folder))
            for number in range(1, terms.hosts + 1)
        ]
        consumers = Consumers(hosts, record, terms)
        try:
            for host in hosts:
                host.start([each.peer_address for each in hosts])
            for host in hosts:
                await host.until_ready()
            await asyncio.sleep(CONTACT_S + 0.5)
            await consumers.play()
        finally:
            for host in hosts:
                await host.stop()
            for replica in replicas:
                await replica.stop()
            await store.stop()
    arrived = sorted(item for replica in replicas for item in replica.poison_at)
    crashed = sorted(at for replica in replicas for at in replica.crashed_at)
    for name, count in sorted(consumers.counts.items()):
        record.add(f"{name}: {count}")
    if not arrived:
        return 2
    late_from = crashed[2] + CONTACT_S if len(crashed) >= 3 else math.inf
    late = [request_id for at, request_id in arrived if at > late_from]
    seen = {request_id for at, request_id in arrived if at <= late_from}
    again = 0  # repeats by the hosts themselves, within one attempt of a consumer
    for request_id in late:
        again += request_id in seen
        seen.add(request_id)
    record.add(
        f"the poison reached replicas {len(arrived)} times and crashed {len(crashed)}; "
        f"later than {CONTACT_S} s after the third crash {len(late)} times, {again} of "
        f"them repeats by the hosts, allowed {RULE_MOST}"
    )
    return 1 if len(late) > RULE_MOST else 0
