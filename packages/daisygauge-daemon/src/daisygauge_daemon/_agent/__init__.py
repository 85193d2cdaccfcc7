"""The agent daemon: ends QUIC beside an upstream that speaks HTTP/1.1."""

from ._agent import Agent

__all__ = ["Agent"]
