"""The configuration in force, as balancers and agents use it."""

from __future__ import annotations

from attrs import field, frozen

from daisygauge_records import Instance, Service, Upstream
from daisygauge_wire import KeyRing


@frozen(kw_only=True)
class ConfigurationView:
    """A consistent snapshot of all records and the instance list.

    :param version: increases with every change that this process sees.
    :param services: services by id.
    :param upstreams: upstreams of each service id, ordered by id.
    :param keys: keys in force.
    :param instances: instance list by instance id; it lags behind the platform.
    """

    version: int = 0
    services: dict[str, Service] = field(factory=dict)
    upstreams: dict[str, tuple[Upstream, ...]] = field(factory=dict)
    keys: KeyRing = field(factory=lambda: KeyRing(keys={}))
    instances: dict[str, Instance] = field(factory=dict)
