"""Probes that check whether a process listens at an address."""

import asyncio
from datetime import timedelta

from lycheedyke.exceptions import ConnectError, ConnectionRefusedByHost


async def probe(address: str, *, timeout: timedelta) -> None:
    """Connects to `ip:port` and closes the connection.

    Raises:
        ConnectionRefusedByHost: the host refused the connection, so no
            process listens at the address.
        ConnectError: no connection was made within `timeout`.
    """
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            _, writer = await asyncio.open_connection(
                host.strip('[]'),
                int(port),
            )
    except ConnectionRefusedError as error:
        raise ConnectionRefusedByHost(
            f'{address}: connection refused',
        ) from error
    except (OSError, TimeoutError) as error:
        raise ConnectError(f'{address}: {error!r}') from error
    writer.transport.abort()


async def is_connection_refused(address: str, *, timeout: timedelta) -> bool:
    """Returns whether the host refuses connections to an address."""
    try:
        await probe(address, timeout=timeout)
    except ConnectionRefusedByHost:
        return True
    except ConnectError:
        return False
    return False
