"""The agent daemon: terminates QUIC in front of one HTTP/1.1 upstream."""

from ._agent import Agent

__all__ = ["Agent"]
