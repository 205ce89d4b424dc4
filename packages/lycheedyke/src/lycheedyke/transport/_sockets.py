"""Sockets that detect a peer that no longer responds."""

import socket
from typing import Any

# A connection with data unacknowledged for this long is closed. This is seven
# round trips between regions, and well below the shortest timeouts.
UNACKNOWLEDGED_TIMEOUT_MS = 500
PROBE_AFTER_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 2

_AddressInfo = tuple[Any, ...]


def open_socket(info: _AddressInfo) -> socket.socket:
    """Returns a socket for a connection to an address.

    A connection may stop carrying data in either direction without a reset.
    The socket closes such a connection after unacknowledged data or
    unanswered keepalive probes, so that its requests fail and later requests
    use another connection.

    Args:
        info: the address as returned by `getaddrinfo`.
    """
    family, kind, protocol, *_ = info
    new_socket = socket.socket(family, kind, protocol)
    for level, option, option_value in (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
        (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            UNACKNOWLEDGED_TIMEOUT_MS,
        ),
    ):
        new_socket.setsockopt(level, option, option_value)
    return new_socket
