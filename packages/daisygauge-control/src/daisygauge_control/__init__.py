"""Configuration reading, spreading and membership."""

from ._view import ConfigurationView

__all__ = ["ConfigurationView"]
