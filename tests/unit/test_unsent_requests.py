"""Requests that can't be sent, as nothing can have such an address."""

import asyncio
from datetime import timedelta

import pytest

from lycheedyke.exceptions import ConnectError
from lycheedyke.transport import HttpClient


# Guards against requests that were never written and count as run.
@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '127.0.0.1:8x', f'{"a" * 70}.example:80']
)
def test_a_request_to_no_address_is_not_sent(address: str) -> None:
    """The error says that no byte was sent."""

    async def _send() -> None:
        async with HttpClient() as client:
            with pytest.raises(ConnectError):
                await client.send(
                    'GET', f'http://{address}/', timeout=timedelta(seconds=2)
                )

    asyncio.run(_send())
