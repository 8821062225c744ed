"""Base classes of test cases whose test methods may be coroutines."""

import asyncio
import functools
import inspect

import testtools

from radishshift.virtual_time import run_virtually

__all__ = ["TestCase", "VirtualTestCase", "for_each_fleet"]


def _as_synchronous(method, *args):
    @functools.wraps(method)
    def run_test(self):
        self.run_coroutine(method(self, *args))

    return run_test


def for_each_fleet(fleets):
    """Make a test of each fleet, a tuple that begins with its number of hosts.

    Large fleets take long, and workers can share out tests, but not parts of one.
    """

    def mark(method):
        method.fleets = fleets
        return method

    return mark


class TestCase(testtools.TestCase):
    """A test case that runs each coroutine test on an event loop of its own."""

    run_coroutine = staticmethod(asyncio.run)

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        for name, method in list(vars(cls).items()):
            if not name.startswith("test") or not inspect.iscoroutinefunction(method):
                continue
            fleets = getattr(method, "fleets", None)
            if fleets is None:
                setattr(cls, name, _as_synchronous(method))
                continue
            delattr(cls, name)
            for fleet in fleets:
                test = _as_synchronous(method, fleet)
                setattr(cls, f"{name}_at_{fleet[0]}_hosts", test)

    async def assert_raises_async(self, expected, awaitable):
        """Check that awaiting raises the expected type, and return the exception."""
        try:
            await awaitable
        except expected as exc:
            return exc
        return self.fail(f"{expected.__name__} was not raised")


class VirtualTestCase(TestCase):
    """A test case that runs coroutine tests in virtual time, without sockets."""

    run_coroutine = staticmethod(run_virtually)
