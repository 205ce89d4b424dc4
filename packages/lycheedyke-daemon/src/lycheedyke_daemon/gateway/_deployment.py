"""What a deployment of the gateway provides."""

from typing import NamedTuple

from lycheedyke.protocol import Registry
from lycheedyke_daemon.gateway._answer_headers import HeaderNames
from lycheedyke_daemon.gateway._lookup import LookupFormat


class Deployment(NamedTuple):
    """What a deployment provides: its registry and its wire formats.

    Attributes:
        registry: stores routes, upstreams and entry instances.
        headers: the header names of callers and upstreams.
        lookups: the format of callers' look-ups.
    """

    registry: Registry
    headers: HeaderNames
    lookups: LookupFormat
