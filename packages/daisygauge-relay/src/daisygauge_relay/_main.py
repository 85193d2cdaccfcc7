"""Start of a balancer or agent of relayed flows."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

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

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_MISUSE = 2

SETTINGS: dict[str, type[RelaySettings]] = {
    "balancer": RelayBalancerSettings,
    "agent": RelayAgentSettings,
}
"""Model of each role's settings."""


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
    # What is loaded now stays for good; looking through it for garbage is a tenth
    # of the start.
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
        )
    except RelaySettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_MISUSE
    except OSError as error:
        print(f"{error}; free the address or change the settings", file=sys.stderr)
        return EXIT_FAILED
