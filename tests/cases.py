"""Test cases whose methods may be coroutines."""

import asyncio
import functools
import inspect

import testtools

from radishshift.virtual_time import run_virtually

__all__ = ["TestCase", "VirtualTestCase"]


def _run_to_end(method):
    @functools.wraps(method)
    def run(self):
        self.run_coroutine(method(self))

    return run


class TestCase(testtools.TestCase):
    """A test case; each coroutine test runs on a loop of its own."""

    run_coroutine = staticmethod(asyncio.run)

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        for name, method in list(vars(cls).items()):
            if name.startswith("test") and inspect.iscoroutinefunction(method):
                setattr(cls, name, _run_to_end(method))

    async def assert_raises_async(self, expected, awaitable):
        """Await, and return the exception of the expected type that comes."""
        try:
            await awaitable
        except expected as exc:
            return exc
        return self.fail(f"{expected.__name__} was not raised")


class VirtualTestCase(TestCase):
    """A test case whose coroutine tests run in virtual time, without sockets."""

    run_coroutine = staticmethod(run_virtually)
