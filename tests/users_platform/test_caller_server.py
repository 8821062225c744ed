"""Tests of the callers' server of a process that was halted."""

import asyncio
import time

from users_platform.caller_server import CallerServer

from radishshift.clocks import SystemClock
from radishshift.loops import input_first_event_loop
from tests.cases import TestCase

HALT_S = 0.5


def _halt():
    """Let the process stand still."""
    time.sleep(HALT_S)


class HaltTest(TestCase):
    def test_the_time_for_which_a_request_lay_in_its_socket_is_not_given_again(self):
        """Guards rule BUDGET: deadlines were later by the length of a halt."""
        clock = SystemClock()

        async def send_before_a_halt():
            received = asyncio.get_running_loop().create_future()

            async def handle(req, answer):
                received.set_result(req)
                await answer.send(200, (), b"")

            server = CallerServer(handle, clock, lambda: False).server
            listener = await asyncio.get_running_loop().create_server(
                server, "127.0.0.1", 0
            )
            address = listener.sockets[0].getsockname()
            _, writer = await asyncio.open_connection(*address)
            await asyncio.sleep(0.05)  # accepted
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\nX-Deadline-Ms: 1000\r\n\r\n")
            sent_at = clock.now()
            _halt()
            req = await received
            writer.close()
            listener.close()
            await server.shutdown(0.1)
            return sent_at, req

        with asyncio.Runner(loop_factory=input_first_event_loop) as runner:
            sent_at, req = runner.run(send_before_a_halt())
        self.assertLess(req.deadline, sent_at + 1.0 + HALT_S / 2)
        self.assertLess(req.received_at, sent_at + HALT_S / 2)
