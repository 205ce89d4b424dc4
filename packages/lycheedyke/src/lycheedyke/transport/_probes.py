"""Probes that tell whether a process listens at an address."""

import asyncio
from datetime import timedelta

from lycheedyke.exceptions import ConnectError, ConnectionRefusedByHost


async def probe(address: str, *, timeout: timedelta) -> None:
    """Makes a connection to `ip:port` and closes it.

    Raises:
        ConnectionRefusedByHost: the host says that no process listens there.
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
    """Returns whether the host says that no process listens there."""
    try:
        await probe(address, timeout=timeout)
    except ConnectionRefusedByHost:
        return True
    except ConnectError:
        return False
    return False
