"""Start of a balancer or agent of relayed flows."""

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
"""Model of each role's settings."""


class EarlySignals:
    """Takes signals that come before the event loop does.

    Without it they would end the process as if it had failed.

    :ivar must_reload: True once SIGHUP has come.
    """

    def __init__(self) -> None:
        self.must_reload = False

    def install(self) -> None:
        """Take signals from now on."""
        signal.signal(signal.SIGTERM, self.stop)
        signal.signal(signal.SIGINT, self.stop)
        signal.signal(signal.SIGHUP, self.note_reload)

    def stop(self, number: int, frame: FrameType | None) -> NoReturn:
        """End a process that carries nothing yet.

        At once: an exception may be raised inside any import, which can take it for
        a failure of its own.
        """
        os._exit(EXIT_STOPPED)

    def note_reload(self, number: int, frame: FrameType | None) -> None:
        """Remember that the settings may have changed since they were read."""
        self.must_reload = True


def run_relay(
    *, role: str, settings_path: str, load_platform: Callable[[], Platform]
) -> int:
    """Run a process of relayed flows until SIGTERM.

    :param role: ``balancer`` or ``agent``.
    :param load_platform: loads the adapter; called once the sockets are bound.
    :return: the exit code.
    """
    if role not in SETTINGS:
        print(f"no role {role!r}; use one of {sorted(SETTINGS)}", file=sys.stderr)
        return EXIT_MISUSE
    early = EarlySignals()
    early.install()
    # What is loaded now stays for good; looking through it for garbage would only
    # make the start longer.
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
            must_reload=lambda: early.must_reload,
        )
    except RelaySettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_MISUSE
    except OSError as error:
        print(f"{error}; free the address or change the settings", file=sys.stderr)
        return EXIT_FAILED
