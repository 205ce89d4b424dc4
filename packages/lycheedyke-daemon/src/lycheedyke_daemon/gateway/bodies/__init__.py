"""Large bodies: responses that are passed on while they arrive."""

from lycheedyke_daemon.gateway.bodies._handovers import Handovers
from lycheedyke_daemon.gateway.bodies._response_stream import (
    STREAM,
    ResponseStream,
    ResponseStreams,
)
from lycheedyke_daemon.gateway.bodies._streamed_work import (
    open_stream,
    was_held_up,
)

__all__ = (
    'STREAM',
    'Handovers',
    'ResponseStream',
    'ResponseStreams',
    'open_stream',
    'was_held_up',
)
