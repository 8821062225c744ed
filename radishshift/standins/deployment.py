"""A small deployment of stand-ins in one process, on loopback addresses."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from radishshift.contracts import key_digest
from radishshift.listening import listening
from radishshift.objects import Kind, StoredObject
from radishshift.platform import MemoryPlatform
from radishshift.standins.engine import StandinEngine
from radishshift.standins.platform import make_platform_app
from radishshift.standins.ratings import StandinRatings
from radishshift.standins.service import StandinService

__all__ = ["Deployment", "deployed", "small_catalogue"]

KEY = "key-of-uyole-ring"
OTHER_KEY = "key-of-igurusi-ring"


def _version(model: str, prices: tuple[int, int], quality: float) -> dict[str, Any]:
    return {
        "type": "version",
        "owner": "shamba-pamoja",
        "class": "advice",
        "model": model,
        "state": "serving",
        "promptPriceNano": prices[0],
        "completionPriceNano": prices[1],
        "quality": {"quick-check": quality, "season-plan": quality - 0.15},
    }


def _customer(key: str) -> dict[str, Any]:
    return {
        "type": "customer",
        "owner": "shamba-pamoja",
        "class": "ring",
        "keyDigests": [key_digest(key)],
        "allowed": ["farm-advice-small", "farm-advice-large", "booking-desk"],
        "quality": {
            "quick-check": {"target": 0.7},
            "season-plan": {"target": 0.75, "floor": 0.4},
        },
        "defaultClass": "season-plan",
    }


def _task_class(priority: int, deadline_s: float, cascade: bool) -> dict[str, Any]:
    return {
        "type": "task-class",
        "owner": "shamba-pamoja",
        "class": "task",
        "priority": priority,
        "deadlineS": deadline_s,
        "cascade": cascade,
    }


def small_catalogue() -> dict[str, dict[str, Any]]:
    """Return the specs of a small catalogue, by entry name."""
    return {
        "farm-advice-small.v1": _version("farm-advice-small", (50, 200), 0.8),
        "farm-advice-large.v1": _version("farm-advice-large", (1500, 6000), 0.95),
        "farm-advice-large.v2": _version("farm-advice-large", (1400, 5600), 0.96),
        "booking-desk": {
            "type": "service",
            "owner": "shamba-pamoja",
            "class": "booking",
            "routes": [
                {"method": "POST", "pathPrefix": "/bookings"},
                {"method": "GET", "pathPrefix": "/holders/", "idempotent": True},
            ],
            "callPriceNano": 1_000_000,
            "taskClass": "booking",
        },
        "uyole-ring": _customer(KEY),
        "igurusi-ring": _customer(OTHER_KEY),
        "quick-check": _task_class(0, 5.0, False) | {"cancelOnHangUp": True},
        "season-plan": _task_class(2, 120.0, True)
        | {"objectives": {"wholeAnswerS": 30.0}},
        "booking": _task_class(1, 20.0, False),
        "policies": {"type": "policy", "owner": "shamba-pamoja", "class": "policy"},
    }


@dataclass(slots=True)
class Deployment:
    """The stand-ins of a running deployment.

    Attributes
    ----------
    platform : MemoryPlatform
    platform_address : str
    engines : dict of str to StandinEngine
    desk : StandinService
    ratings : StandinRatings
    ratings_address : str
    """

    platform: MemoryPlatform
    platform_address: str
    engines: dict[str, StandinEngine] = field(default_factory=dict)
    desk: StandinService = field(default_factory=lambda: StandinService("desk-1"))
    ratings: StandinRatings = field(default_factory=StandinRatings)
    ratings_address: str = ""


def _engines() -> list[StandinEngine]:
    small = frozenset({"farm-advice-small.v1"})
    large = frozenset({"farm-advice-large.v1", "farm-advice-large.v2"})
    return [
        StandinEngine("engine-1", small),
        StandinEngine("engine-2", large),
        StandinEngine("engine-3", small | large),
    ]


async def _store_endpoint(
    platform: MemoryPlatform, name: str, address: str, serves: list[str]
) -> None:
    spec = {"address": address, "dataCentre": "mbeya", "serves": sorted(serves)}
    await platform.create(StoredObject(Kind.ENDPOINT, name, spec))


@asynccontextmanager
async def deployed() -> AsyncIterator[Deployment]:
    """Run a platform, three engines and a booking desk on loopback."""
    platform = MemoryPlatform()
    async with AsyncExitStack() as stack:
        platform_app = make_platform_app(platform)
        # The handler of a watch notices a client disconnect only at its next write.
        # None comes at shutdown, so don't wait long for handlers to end.
        options = {"shutdown_timeout": 0.1}
        address = await stack.enter_async_context(listening(platform_app, **options))
        deployment = Deployment(platform, address)
        for engine in _engines():
            app = engine.app()
            url = await stack.enter_async_context(listening(app, **options))
            deployment.engines[engine.name] = engine
            await _store_endpoint(platform, engine.name, url, list(engine.versions))
        ratings_app = deployment.ratings.app()
        deployment.ratings_address = await stack.enter_async_context(
            listening(ratings_app, **options)
        )
        desk = deployment.desk
        url = await stack.enter_async_context(listening(desk.app(), **options))
        await _store_endpoint(platform, desk.name, url, ["booking-desk"])
        for name, spec in small_catalogue().items():
            await platform.create(StoredObject(Kind.ENTRY, name, spec))
        yield deployment
