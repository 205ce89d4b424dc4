"""Transport: HTTP exchanges and authenticated peer links."""

from lycheedyke.transport._http import (
    MAX_HEAD_BYTES,
    HttpAnswer,
    HttpClient,
)
from lycheedyke.transport._links import Link, PeerLink, PeerListener
from lycheedyke.transport._probes import is_refused

__all__ = (
    'MAX_HEAD_BYTES',
    'HttpAnswer',
    'HttpClient',
    'Link',
    'PeerLink',
    'PeerListener',
    'is_refused',
)
