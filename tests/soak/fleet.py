"""Hosts as processes of their own, ended and paused by signals."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

from users_platform.settings import SETTINGS_VARIABLE

__all__ = ["HostProcess"]

ROOT = Path(__file__).resolve().parent.parent.parent
RESTART_S = 0.2  # between the end of a process and its next start


@dataclass
class HostProcess:
    """One host; its process is started again whenever it ends.

    Attributes
    ----------
    name : str
    settings : Path
        File that the process reads; its log is beside it.
    starts : int
        Processes so far. Each has no memory of the one before.
    """

    name: str
    settings: Path
    starts: int = 0
    _proc: asyncio.subprocess.Process | None = None
    _keeping: asyncio.Task | None = None

    def start(self) -> None:
        """Start the process and keep it running."""
        self._keeping = asyncio.create_task(self._keep())

    async def _keep(self) -> None:
        env = os.environ | {SETTINGS_VARIABLE: str(self.settings)}
        while True:
            with self.settings.with_suffix(".log").open("ab") as log:
                self._proc = await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(ROOT / "platform" / "entry.py"),
                    env=env,
                    stdout=log,
                    stderr=log,
                )
                self.starts += 1
                await self._proc.wait()
            await asyncio.sleep(RESTART_S)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if one runs."""
        if self._proc is None or self._proc.returncode is not None:
            return
        self._proc.send_signal(number)

    async def pause(self, time_s: float) -> None:
        """Freeze the process for a time."""
        self.signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(time_s)
        finally:
            self.signal(signal.SIGCONT)

    async def stop(self) -> None:
        """End the process for good."""
        self._keeping.cancel()
        await asyncio.gather(self._keeping, return_exceptions=True)
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._proc is not None:
            await self._proc.wait()
