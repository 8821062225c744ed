"""Base classes of test cases whose test methods may be coroutines."""

import asyncio
import functools
import inspect

import testtools

from radishshift.virtual_time import run_virtually

__all__ = ["TestCase", "VirtualTestCase"]


def _as_synchronous(method):
    @functools.wraps(method)
    def run_test(self):
        self.run_coroutine(method(self))

    return run_test


class TestCase(testtools.TestCase):
    """A test case that runs each coroutine test on an event loop of its own."""

    run_coroutine = staticmethod(asyncio.run)

    def __init_subclass__(cls) -> None:
        super().__init_subclass__()
        for name, method in list(vars(cls).items()):
            if name.startswith("test") and inspect.iscoroutinefunction(method):
                setattr(cls, name, _as_synchronous(method))

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
