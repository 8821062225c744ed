"""Tests of the options of TCP connections."""

import socket
import time

from radishshift.gateway.sockets import enable_keepalive, unread_s
from tests.cases import TestCase


class KeepaliveTest(TestCase):
    def test_the_timeout_of_unacknowledged_data_delays_no_end_by_keepalive(self):
        """On Linux it decides when probes give up, whatever their count."""
        with socket.socket() as sock:
            enable_keepalive(sock)
            idle_s, interval_s, probes, timeout_ms = (
                sock.getsockopt(socket.IPPROTO_TCP, option)
                for option in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_KEEPCNT,
                    socket.TCP_USER_TIMEOUT,
                )
            )
        by_count_s = idle_s + interval_s * probes
        timers_s = (idle_s + interval_s * count for count in range(1, 100))
        by_timeout_s = next(at for at in timers_s if at * 1000 >= timeout_ms)
        self.assertEqual(by_count_s, by_timeout_s)


class UnreadTest(TestCase):
    def test_the_time_that_data_has_waited_in_a_socket(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
            near.sendall(b"x")
            time.sleep(0.3)
            self.assertGreaterEqual(unread_s(far), 0.25)
            near.close()
            far.close()
        self.assertEqual(0.0, unread_s(None))
        pair = socket.socketpair()
        self.assertEqual(0.0, unread_s(pair[0]))
        for sock in pair:
            sock.close()
