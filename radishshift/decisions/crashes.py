"""Detection of what crashes the endpoints that run it.

Load pattern: a request that crashes each endpoint it reaches and is sent again, or
requests of which no two are alike but for one part of their prompts, which crashes each
endpoint that begins to answer. They reach any host, among sound requests that share
their customer and their other parts and were running or waiting at the same endpoints.

What requests may have in common are their traits: a hash of the whole request, and one
of each part of the prompt. The last part counts in a session only; elsewhere it is the
request's own. Each crash has many suspects: the traits of requests that an endpoint had
begun to answer, and of those that waited there, as a request may crash it before its
answer begins. A trait with sound answers is cleared of the crashes before them. The
crashes left are attributed to as few traits as possible, the one with most crashes
first, so that a sound trait is not blamed for crashes that another one explains. Of
traits with as many, those being answered come first, and one that waited beside them
has to have crashed one endpoint more.
"""

import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import chain

import msgspec
import xxhash

from radishshift.recent import put_newest

__all__ = ["CrashReport", "CrashSuspects", "Traits", "is_request"]

REQUEST_PREFIX = "r"
BEGUN_REQUEST_PREFIX = "b"  # a request whose answer had begun
PART_PREFIX = "p"
# Crashes from which a trait is blocked.
CRASHES_TO_BLOCK_REQUEST = 2
CRASHES_TO_BLOCK_BEGUN_REQUEST = 3
CRASHES_TO_BLOCK_PART = 3
CRASHES_TO_BLOCK_SOUND_PART = 6  # of a part with sound answers before the crashes
# In addition, of a trait that waited while the endpoint was answering others.
CRASHES_BESIDE_ANSWERS = 1
# Endpoints that crash within this time of each other have a cause in common that is not
# a request.
COINCIDENCE_S = 0.05
# An endpoint that loses an answer later than this after another was alive in between.
SAME_CRASH_S = 1.0
# An endpoint that accepts a connection so soon after it lost an answer has not crashed:
# one that has takes longer to start again.
LIFE_PROOF_S = 1.0
REPORT_DELAY_S = 0.5  # by which an instant seems later at a peer
# By then another host has reported the request that was being answered, if any was.
WAITING_SETTLE_S = 1.0
CRASH_RETENTION_S = 600.0  # since the crash
SOUND_RETENTION_S = 60.0  # since the last sound answer
REPORT_TIME_S = 30.0  # since the crash; by then all hosts have heard of it
MAX_CRASHES = 256
# By then a crash that was none has been taken back; until then its report is enough.
HELD_AFTER_S = 5.0
MAX_HELD_REPORTED = 32
MAX_HELD = 256
MAX_CRASHES_REPORTED = 16
MAX_SUSPECTS_PER_CRASH = 64
MAX_SUSPECTS_REPORTED = 16
MAX_SOUND_TRAITS = 8192


@dataclass(frozen=True, slots=True)
class Traits:
    """What a request may have in common with others that crash endpoints.

    Attributes
    ----------
    request : str
        Hash of the whole request; empty if only its parts matter.
    parts : tuple of str
        Hashes of the parts of its prompt that others may share.
    """

    request: str
    parts: tuple[str, ...] = ()

    @classmethod
    def of(
        cls, request_hash: str, service: str, part_digests: Iterable[str]
    ) -> "Traits":
        """Return the traits of a request, given its own hash and its shared parts."""
        parts = (
            PART_PREFIX + xxhash.xxh64_hexdigest(f"{service} {digest}".encode())
            for digest in part_digests
        )
        return cls(REQUEST_PREFIX + request_hash, tuple(parts))

    def once_begun(self) -> "Traits":
        """Return what is suspected of a crash after the first event of an answer.

        Endpoints may break off an answer for other reasons, so the request is counted
        apart from the crashes before the first event.
        """
        return replace(self, request=_begun(self.request))

    def shared(self) -> "Traits":
        """Return the traits that other requests may have, too."""
        return replace(self, request="")

    def depths(self) -> dict[str, int]:
        """Return all traits with their depth: 0 the request, from 1 on its parts."""
        depths = {part: depth for depth, part in enumerate(self.parts, 1)}
        return {self.request: 0} | depths if self.request else depths

    def all(self) -> tuple[str, ...]:
        """Return every trait by which the request may be blocked."""
        requests = (self.request, _begun(self.request)) if self.request else ()
        return requests + self.parts


class CrashReport(msgspec.Struct, array_like=True):
    """Crash of an endpoint, as hosts report it to each other.

    Attributes
    ----------
    endpoint : str
        Name and incarnation.
    age_s : float
        Time since the crash, in seconds.
    answering, waiting : list of tuple
        Traits, with their depth, of the requests that it had begun to answer, or not
        yet.
    """

    endpoint: str
    age_s: float
    answering: list[tuple[str, int]] = []
    waiting: list[tuple[str, int]] = []


@dataclass(slots=True)
class _Crash:
    """A crash with the depth of each suspect, and the suspects since cleared."""

    at: float
    answering: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    cleared: set[str] = field(default_factory=set)

    def is_suspect(self, trait: str) -> bool:
        """Return whether a trait is a suspect, cleared or not."""
        return trait in self.answering or trait in self.waiting

    def candidates(self, now: float) -> dict[str, int]:
        """Return the suspects that count, with their depth."""
        settled = now >= self.at + WAITING_SETTLE_S
        waiting = {
            trait: depth
            for trait, depth in self.waiting.items()
            if settled or is_request(trait)
        }
        suspects = waiting | self.answering
        for trait in self.cleared & suspects.keys():
            del suspects[trait]
        return suspects

    def beside_answers(self, trait: str) -> bool:
        """Return whether a suspect waited while others were being answered."""
        return bool(self.answering) and trait not in self.answering


@dataclass(slots=True)
class _Tally:
    """The crashes that may be due to one trait.

    Attributes
    ----------
    count : int
    beside_answers : int
        How many of them it waited at while others were being answered.
    depth : int
        The greatest of its depths.
    last_at : float
        Instant of the last one that counted.
    """

    count: int = 0
    beside_answers: int = 0
    depth: int = 0
    last_at: float = -math.inf


class CrashSuspects:
    """Crashes of endpoints with their suspects, merged over all hosts.

    Attributes
    ----------
    on_change : callable
        Called with the blocked traits, and their crash counts, when they change.
    """

    def __init__(self) -> None:
        self._crashes: OrderedDict[str, _Crash] = OrderedDict()
        self._sound_at: OrderedDict[str, float] = OrderedDict()
        self._alive_at: OrderedDict[str, float] = OrderedDict()  # by endpoint
        self._stored: dict[str, float] = {}
        # Requests that peers hold back, with the instant of their last crash.
        self._told: OrderedDict[str, float] = OrderedDict()
        self._attributed: dict[str, int] = {}
        self._blocked: dict[str, int] = {}
        self._outdated = False
        self._settles_at = math.inf
        self.on_change: Callable[[dict[str, int]], None] = lambda _: None

    def record_crash(
        self, endpoint: str, traits: Traits, answering: bool, now: float
    ) -> None:
        """Record that an endpoint crashed while it had a request.

        Parameters
        ----------
        endpoint : str
            Name and incarnation.
        traits : Traits
        answering : bool
            Whether it had begun to answer the request.
        """
        crash = self._crash(endpoint, now)
        if crash is not None:
            self._add_suspects(crash, traits.depths().items(), answering)

    def record_alive(self, endpoint: str, at: float, delay_s: float = 0.0) -> bool:
        """Record that an endpoint accepted a connection: it has not crashed before.

        Parameters
        ----------
        endpoint : str
            Name and incarnation.
        at : float
        delay_s : float
            By which the instant of the crash may seem later than it was.

        Returns
        -------
        bool
            Whether a crash was taken back.
        """
        if at <= self._alive_at.get(endpoint, -math.inf):
            return False
        put_newest(self._alive_at, endpoint, at, MAX_CRASHES)
        crash = self._crashes.get(endpoint)
        if crash is None or not _proves_life(at, crash.at, delay_s):
            return False
        del self._crashes[endpoint]
        self._outdated = True
        return True

    def alive_ages_s(self, now: float) -> dict[str, float]:
        """Return the time since endpoints proved to live, for peers."""
        newest = list(self._alive_at.items())[-MAX_CRASHES_REPORTED:]
        return {
            endpoint: round(now - at, 3)
            for endpoint, at in newest
            if now - at <= REPORT_TIME_S
        }

    def merge_alive(self, ages_s: dict[str, float], now: float) -> None:
        """Merge what a peer knows of endpoints that live."""
        for endpoint, age_s in ages_s.items():
            self.record_alive(endpoint, now - age_s, REPORT_DELAY_S)

    def record_sound(self, traits: Traits, now: float) -> None:
        """Record an answer that the traits of its request did not prevent."""
        for trait in traits.all():
            self._record_sound(trait, now)

    def set_stored(self, parts: dict[str, float]) -> None:
        """Set the traits that are blocked by the platform, with the time since when."""
        if parts != self._stored:
            self._stored = dict(parts)
            self._outdated = True

    def obsolete_stored(self, now: float) -> list[str]:
        """Return the stored traits that have expired or had sound answers since."""
        return [
            part
            for part, at in self._stored.items()
            if now - at > CRASH_RETENTION_S or self._sound_at.get(part, 0.0) > at
        ]

    def attributed(self, now: float) -> dict[str, int]:
        """Return the traits to which crashes are attributed, with their counts."""
        self.blocked(now)
        return self._attributed

    def blocked(self, now: float) -> dict[str, int]:
        """Return the traits whose requests must not run, with their crash counts.

        The count is 0 for one that this host only knows of from peers or the platform.
        """
        expired = self._expire(now)
        if expired or self._outdated or now >= self._settles_at:
            self._outdated = False
            self._attributed = self._attribute(now)
            obsolete = set(self.obsolete_stored(now))
            stored = {part: 0 for part in self._stored if part not in obsolete}
            blocked = dict.fromkeys(self._told, 0) | stored | self._attributed
            changed = blocked.keys() != self._blocked.keys()
            self._blocked = blocked
            if changed:
                self.on_change(blocked)
        return self._blocked

    def blocking(self, traits: Traits, now: float) -> str:
        """Return the trait for which a request must not run, or an empty string."""
        blocked = self.blocked(now)
        if not blocked:
            return ""
        return next((trait for trait in traits.all() if trait in blocked), "")

    def crash_counts(self, traits: Traits) -> tuple[int, int]:
        """Return how many crashes a request was present at, and how many count."""
        forms = (traits.request, _begun(traits.request))
        present = counted = 0
        for crash in self._crashes.values():
            suspects = [form for form in forms if crash.is_suspect(form)]
            present += bool(suspects)
            counted += not crash.cleared.issuperset(suspects)
        return present, counted

    def reports(self, now: float) -> list[CrashReport]:
        """Return the newest crashes that this host knows of, for its peers."""
        newest = [
            (endpoint, crash)
            for endpoint, crash in list(self._crashes.items())[-MAX_CRASHES_REPORTED:]
            if now - crash.at <= REPORT_TIME_S
        ]
        tallies = _tally((crash, crash.candidates(now)) for _, crash in newest)
        return [
            CrashReport(
                endpoint,
                round(now - crash.at, 3),
                _foremost(crash.answering, tallies),
                _foremost(crash.waiting, tallies),
            )
            for endpoint, crash in newest
        ]

    def held_ages_s(self, now: float) -> dict[str, float]:
        """Return the requests that this host holds back, for its peers.

        Crashes are reported for a shorter time than that for which their requests are
        held back, and hosts that start meanwhile have to learn of these.

        Returns
        -------
        dict of str to float
            Time since the last crash by trait, in seconds.
        """
        blocked = [trait for trait in self.blocked(now) if is_request(trait)]
        if not blocked:
            return {}
        last_at = dict(self._told)
        for crash in self._crashes.values():
            for trait in crash.candidates(now).keys() & blocked:
                last_at[trait] = max(crash.at, last_at.get(trait, -math.inf))
        held = [
            trait for trait in blocked if now - last_at.get(trait, now) > HELD_AFTER_S
        ]
        newest = sorted(held, key=lambda trait: last_at[trait])
        return {
            trait: round(now - last_at[trait], 3)
            for trait in newest[-MAX_HELD_REPORTED:]
        }

    def merge_held(self, ages_s: dict[str, float], now: float) -> None:
        """Hold back the requests that a peer holds back.

        The earliest instant counts, as ages shrink on their way from host to host.
        """
        for trait, age_s in ages_s.items():
            at = now - age_s
            expired = age_s > CRASH_RETENTION_S or not is_request(trait)
            if expired or at >= self._told.get(trait, math.inf):
                continue
            if self._sound_at.get(trait, -math.inf) > at:
                continue
            self._outdated = self._outdated or trait not in self._told
            put_newest(self._told, trait, at, MAX_HELD)

    def sound_ages_s(self, now: float) -> dict[str, float]:
        """Return the time since the last sound answer of suspected traits."""
        suspected = {
            trait
            for crash in list(self._crashes.values())[-MAX_CRASHES_REPORTED:]
            if now - crash.at <= REPORT_TIME_S
            for trait in crash.answering.keys() | crash.waiting.keys()
        }
        return {
            trait: round(now - self._sound_at[trait], 3)
            for trait in sorted(suspected & self._sound_at.keys())
        }

    def merge(
        self, reports: Iterable[CrashReport], sound_ages_s: dict[str, float], now: float
    ) -> None:
        """Merge what a peer knows; repeated and older reports have no effect."""
        for report in reports:
            at = now - report.age_s
            alive_at = self._alive_at.get(report.endpoint, -math.inf)
            lived = _proves_life(alive_at, at, REPORT_DELAY_S)
            if lived or now - at > REPORT_TIME_S:
                continue
            crash = self._crash(report.endpoint, at)
            if crash is None:
                continue
            crash.at = min(crash.at, at)
            self._add_suspects(crash, report.answering, True)
            self._add_suspects(crash, report.waiting, False)
        for trait, age_s in sound_ages_s.items():
            self._record_sound(trait, now - age_s)

    def _crash(self, endpoint: str, at: float) -> _Crash | None:
        """Return the record of a crash, or None if a later one is known."""
        crash = self._crashes.get(endpoint)
        if crash is not None and crash.at > at + SAME_CRASH_S:
            return None
        if crash is None or at > crash.at + SAME_CRASH_S:
            crash = _Crash(at)
            put_newest(self._crashes, endpoint, crash, MAX_CRASHES)
        return crash

    def _add_suspects(
        self, crash: _Crash, traits: Iterable[tuple[str, int]], answering: bool
    ) -> None:
        """Add suspects up to the limit; the deeper one counts for a trait known."""
        suspects = crash.answering if answering else crash.waiting
        for trait, depth in traits:
            # While all endpoints are lost, nothing could clear a part in all prompts.
            if not answering and trait in self._sound_at:
                continue
            known = suspects.get(trait)
            if known is None and len(suspects) >= MAX_SUSPECTS_PER_CRASH:
                continue
            if known is None or depth > known:
                suspects[trait] = depth
                self._outdated = True
            if self._sound_at.get(trait, -math.inf) >= crash.at:
                crash.cleared.add(trait)

    def _record_sound(self, trait: str, at: float) -> None:
        if at <= self._sound_at.get(trait, -math.inf):
            return
        put_newest(self._sound_at, trait, at, MAX_SOUND_TRAITS)
        self._outdated = self._outdated or trait in self._stored
        for crash in self._crashes.values():
            if (
                crash.is_suspect(trait)
                and crash.at <= at
                and trait not in crash.cleared
            ):
                crash.cleared.add(trait)
                self._outdated = True

    def _expire(self, now: float) -> bool:
        """Delete what has expired; return whether that may change the attribution."""
        while self._sound_at:
            trait, at = next(iter(self._sound_at.items()))
            if now - at <= SOUND_RETENTION_S:
                break
            del self._sound_at[trait]
        changed = False
        for trait, at in list(self._told.items()):
            if now - at > CRASH_RETENTION_S or self._sound_at.get(trait, 0.0) > at:
                del self._told[trait]
                changed = True
        while self._crashes:
            endpoint, crash = next(iter(self._crashes.items()))
            if now - crash.at <= CRASH_RETENTION_S:
                break
            del self._crashes[endpoint]
            changed = True
        return changed

    def _attribute(self, now: float) -> dict[str, int]:
        """Attribute the crashes to traits; return those to block, with their counts."""
        settling = (
            crash.at + WAITING_SETTLE_S
            for crash in self._crashes.values()
            if crash.waiting and crash.at + WAITING_SETTLE_S > now
        )
        self._settles_at = min(settling, default=math.inf)
        crashes = sorted(self._crashes.values(), key=lambda crash: crash.at)
        unexplained = _repeated([(crash, crash.candidates(now)) for crash in crashes])
        blocked: dict[str, int] = {}
        while True:
            tallies = _tally(unexplained)
            due = [
                trait
                for trait, tally in tallies.items()
                if tally.count >= self._threshold(trait, tally)
            ]
            if not due:
                return blocked
            worst = max(due, key=lambda trait: self._suspicion(trait, tallies[trait]))
            blocked[worst] = tallies[worst].count
            unexplained = [item for item in unexplained if worst not in item[1]]

    def _suspicion(self, trait: str, tally: _Tally) -> tuple:
        """Return the sort key by which traits are blamed, the greatest first."""
        return (
            trait not in self._sound_at,
            tally.count,
            # An answer that had begun is the weakest reason to blame a whole request.
            not trait.startswith(BEGUN_REQUEST_PREFIX),
            -tally.beside_answers,
            tally.depth,  # of traits that only occur together the deeper one is rarer
            trait,
        )

    def _threshold(self, trait: str, tally: _Tally) -> int:
        """Return the crashes from which a trait is blocked."""
        extra = CRASHES_BESIDE_ANSWERS if tally.beside_answers else 0
        return extra + self._usual_threshold(trait)

    def _usual_threshold(self, trait: str) -> int:
        if trait.startswith(BEGUN_REQUEST_PREFIX):
            return CRASHES_TO_BLOCK_BEGUN_REQUEST
        if is_request(trait):
            return CRASHES_TO_BLOCK_REQUEST
        if trait in self._sound_at:
            return CRASHES_TO_BLOCK_SOUND_PART
        return CRASHES_TO_BLOCK_PART


def _repeated(
    crashes: list[tuple[_Crash, dict[str, int]]],
) -> list[tuple[_Crash, dict[str, int]]]:
    """Leave out the suspects of a single crash, which are most of them."""
    counts = Counter(chain.from_iterable(candidates for _, candidates in crashes))
    return [
        (crash, {trait: candidates[trait] for trait in candidates if counts[trait] > 1})
        for crash, candidates in crashes
    ]


def _tally(crashes: Iterable[tuple[_Crash, dict[str, int]]]) -> dict[str, _Tally]:
    """Return the crashes of each suspect, from crashes in order."""
    tallies: dict[str, _Tally] = {}
    for crash, candidates in crashes:
        for trait, depth in candidates.items():
            tally = tallies.setdefault(trait, _Tally())
            tally.depth = max(tally.depth, depth)
            if is_request(trait) or crash.at - tally.last_at >= COINCIDENCE_S:
                tally.count += 1
                tally.beside_answers += crash.beside_answers(trait)
                tally.last_at = crash.at
    return tallies


def _proves_life(alive_at: float, crash_at: float, delay_s: float) -> bool:
    """Return whether an accepted connection shows that an endpoint had not crashed."""
    return crash_at - delay_s <= alive_at <= crash_at + LIFE_PROOF_S


def is_request(trait: str) -> bool:
    """Return whether a trait is that of a whole request."""
    return trait.startswith((REQUEST_PREFIX, BEGUN_REQUEST_PREFIX))


def _begun(request: str) -> str:
    return BEGUN_REQUEST_PREFIX + request.removeprefix(REQUEST_PREFIX)


def _foremost(
    suspects: dict[str, int], tallies: dict[str, _Tally]
) -> list[tuple[str, int]]:
    """Return the suspects with most crashes, as many as are reported."""
    none = _Tally()
    items = sorted(suspects.items(), key=lambda item: -tallies.get(item[0], none).count)
    return items[:MAX_SUSPECTS_REPORTED]
