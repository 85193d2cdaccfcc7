"""Fleets of real daemons and stand-ins on loopback addresses."""

from . import _documents as documents
from ._certificates import Certificates, create_certificates
from ._deployment import (
    BRANNOCK,
    DEPLOYMENTS,
    KUISEB,
    AddressPlan,
    Deployment,
    ServicePlan,
)
from ._factory import FleetOptions
from ._fleet import Balancer, Fleet, Host
from ._process import FleetError, ManagedProcess
from ._stand_ins import StandInClient

__all__ = [
    "BRANNOCK",
    "DEPLOYMENTS",
    "KUISEB",
    "AddressPlan",
    "Balancer",
    "Certificates",
    "Deployment",
    "Fleet",
    "FleetError",
    "FleetOptions",
    "Host",
    "ManagedProcess",
    "ServicePlan",
    "StandInClient",
    "create_certificates",
    "documents",
]
