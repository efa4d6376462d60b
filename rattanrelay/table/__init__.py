"""The operators' table of weights and limits, and the catalogs of the services."""

from .model import *  # noqa: F403
from .model import __all__ as _model

__all__ = [*_model]
