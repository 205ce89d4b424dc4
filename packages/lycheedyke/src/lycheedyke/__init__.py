"""Global traffic steering: the library and the client."""

from lycheedyke.client import Client
from lycheedyke.exceptions import (
    LycheedykeError,
    OutcomeUnknown,
    RequestNotRun,
)

__version__ = '0.1.0'

__all__ = ('Client', 'LycheedykeError', 'OutcomeUnknown', 'RequestNotRun')
