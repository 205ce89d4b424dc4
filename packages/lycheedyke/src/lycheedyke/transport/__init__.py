"""Transport: HTTP exchanges and authenticated peer links."""

from lycheedyke.transport._http import HttpAnswer, HttpClient
from lycheedyke.transport._links import Link, PeerLink, PeerListener

__all__ = ('HttpAnswer', 'HttpClient', 'Link', 'PeerLink', 'PeerListener')
