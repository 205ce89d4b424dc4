"""Sockets on which a peer that has gone silent shows."""

import socket
from typing import Any

# A peer that acknowledges nothing for so long is taken to be gone: seven
# round trips between regions, and well within the shortest timeouts.
UNACKNOWLEDGED_MS = 500
PROBE_AFTER_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 2

_AddressInfo = tuple[Any, ...]


def open_socket(info: _AddressInfo) -> socket.socket:
    """Returns a socket for a connection to an address.

    A connection may go silent without a reset: nothing that is sent on it
    arrives, and nothing comes back. Unacknowledged data and unanswered
    probes end it, so that requests on it fail and are made on another.

    Args:
        info: the address as `getaddrinfo` gives it.
    """
    family, kind, protocol, *_ = info
    opened = socket.socket(family, kind, protocol)
    for level, option, setting in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    ):
        opened.setsockopt(level, option, setting)
    return opened
