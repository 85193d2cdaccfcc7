"""Entry point of a balancer or agent of relayed flows."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Callable
from types import FrameType
from typing import TYPE_CHECKING, NoReturn

from ._exit_codes import EXIT_FAILED, EXIT_MISUSE, EXIT_STOPPED
from ._settings import (
    RelayAgentSettings,
    RelayBalancerSettings,
    RelaySettings,
    RelaySettingsError,
    load_relay_settings,
)
from ._sockets import bind_sockets

if TYPE_CHECKING:
    from ._platform import Platform

SETTINGS: dict[str, type[RelaySettings]] = {
    "balancer": RelayBalancerSettings,
    "agent": RelayAgentSettings,
}
"""Settings model of each role."""


class EarlySignals:
    """Handles signals that arrive before the event loop runs.

    Their default action would end the process as if it had failed.

    :ivar reload_requested: True after a SIGHUP.
    """

    def __init__(self) -> None:
        self.reload_requested = False

    def install(self) -> None:
        """Install the handlers."""
        signal.signal(signal.SIGTERM, self.stop)
        signal.signal(signal.SIGINT, self.stop)
        signal.signal(signal.SIGHUP, self.record_reload)

    def stop(self, number: int, frame: FrameType | None) -> NoReturn:
        """End a process that serves no flow yet.

        It ends at once: an exception raised here could surface inside any import, which
        might handle it as its own failure.
        """
        os._exit(EXIT_STOPPED)

    def record_reload(self, number: int, frame: FrameType | None) -> None:
        """Record that the settings may have changed since they were read."""
        self.reload_requested = True


def run_relay(
    *, role: str, settings_path: str, load_platform: Callable[[], Platform]
) -> int:
    """Run a process of relayed flows until SIGTERM.

    :param role: ``balancer`` or ``agent``.
    :param settings_path: path of the settings file.
    :param load_platform: loads the adapter; called after the sockets are bound.
    :return: the exit code.
    """
    if role not in SETTINGS:
        print(f"no role {role!r}; use one of {sorted(SETTINGS)}", file=sys.stderr)
        return EXIT_MISUSE
    early = EarlySignals()
    early.install()
    # Modules loaded now stay for the process's lifetime; collecting garbage among them
    # would only lengthen the start.
    gc.disable()
    try:
        settings = load_relay_settings(settings_path, SETTINGS[role])
        sockets = bind_sockets(settings)
        from ._serve import serve_role

        platform = load_platform()
        gc.freeze()
        gc.enable()
        return serve_role(
            role=role,
            settings=settings,
            settings_path=settings_path,
            sockets=sockets,
            platform=platform,
            reload_requested=lambda: early.reload_requested,
        )
    except RelaySettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_MISUSE
    except OSError as error:
        print(f"{error}; free the address or change the settings", file=sys.stderr)
        return EXIT_FAILED
