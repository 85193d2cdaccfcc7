"""The balancer: passes datagrams between the fabric and agents."""

from ._balancer import Balancer

__all__ = ["Balancer"]
