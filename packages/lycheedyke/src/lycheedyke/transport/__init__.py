"""HTTP exchanges, and request-reply links between instances."""

from lycheedyke.transport._body_memory import BodyMemory, IncomingBody
from lycheedyke.transport._framing import length_of_absent_body
from lycheedyke.transport._http import (
    MAX_HEAD_BYTES,
    READ_BUFFER_BYTES,
    ExchangeChecks,
    HttpClient,
    HttpResponse,
)
from lycheedyke.transport._links import Link, PeerLink, PeerListener
from lycheedyke.transport._probes import is_connection_refused, probe
from lycheedyke.transport._streamed_body import StreamedBody
from lycheedyke.transport._streaming import BodySink

__all__ = (
    'MAX_HEAD_BYTES',
    'READ_BUFFER_BYTES',
    'BodyMemory',
    'BodySink',
    'HttpResponse',
    'ExchangeChecks',
    'HttpClient',
    'IncomingBody',
    'Link',
    'PeerLink',
    'PeerListener',
    'StreamedBody',
    'is_connection_refused',
    'length_of_absent_body',
    'probe',
)
