"""A process that a fleet has started."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

KILL_TIMEOUT_SECONDS = 5.0
DAEMON = str(Path(sys.executable).parent / "daisygauged")


class FleetError(RuntimeError):
    """A process of the fleet did not do what it should; the message has its log."""


class ManagedProcess:
    """Starts, signals and ends one process; its output goes to a file.

    :ivar role: ``platform``, ``fabric``, ``upstream``, ``agent`` or ``balancer``.
    :ivar metrics_port: port of metrics and readiness, None for stand-ins.
    """

    def __init__(
        self,
        *,
        id: str,
        role: str,
        host: str,
        command: list[str],
        log_path: Path,
        metrics_port: int | None = None,
    ) -> None:
        self.id = id
        self.role = role
        self.host = host
        self.command = command
        self.log_path = log_path
        self.metrics_port = metrics_port
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int | None:
        """Process id, None before the start."""
        return self.process.pid if self.process is not None else None

    @property
    def running(self) -> bool:
        """Whether the process has started and not ended."""
        return self.process is not None and self.process.returncode is None

    @property
    def ready_url(self) -> str:
        """URL that answers 200 while the process wants traffic."""
        return f"http://{self.host}:{self.metrics_port}/ready"

    async def start(self) -> None:
        """Start the process in a session of its own, so that it misses Ctrl-C."""
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self.running:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Wait for the end and return the exit code."""
        return await self.process.wait()

    async def kill(self) -> None:
        """End the process at once."""
        self.send_signal(signal.SIGKILL)
        await self.wait()

    def suspend(self) -> None:
        """Stop the process without ending it."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a frozen process go on."""
        self.send_signal(signal.SIGCONT)

    async def terminate(self, *, timeout_seconds: float) -> int:
        """Ask the process to drain and wait for its exit code.

        :raises FleetError: it still runs after ``timeout_seconds``.
        """
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(timeout_seconds):
                return await self.wait()
        except TimeoutError:
            raise FleetError(
                f"{self.id} still runs {timeout_seconds:.0f} s after SIGTERM; "
                f"its last lines:\n{self.log_tail()}"
            ) from None

    def log_tail(self, lines: int = 8) -> str:
        """Return the end of the process's output."""
        if not self.log_path.exists():
            return ""
        return "\n".join(
            self.log_path.read_text(errors="replace").splitlines()[-lines:]
        )


def stand_in_command(name: str, **options: object) -> list[str]:
    """Return the command line of a stand-in."""
    arguments = [f"--{option}={value}" for option, value in options.items()]
    return [sys.executable, "-m", f"daisygauge_emulator.{name}", *arguments]
