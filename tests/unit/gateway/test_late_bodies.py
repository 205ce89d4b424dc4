"""Requests whose bodies arrive late in a planned stop."""

import asyncio
from pathlib import Path

import pytest

from standins.gateway_testbed import ROUTES, GatewayTestbed, run_scenario
from standins.registry_store import config_value

LIMIT_SECONDS = 40
RUN_SECONDS = 0.6
APPLY_SECONDS = 2.0
PATIENT = [{**route, 'timeout': '9000ms', 'goal': '700ms'} for route in ROUTES]


async def _be_patient(platform: GatewayTestbed) -> None:
    """Lets requests last longer than the grace period."""
    platform.store.put('op/config', config_value(0x2F, PATIENT))
    await asyncio.sleep(APPLY_SECONDS)
    for upstream in platform.upstreams:
        upstream.run_s = RUN_SECONDS


async def _send_slowly(
    platform: GatewayTestbed, method: str, path: str, delay_s: float
) -> bytes:
    """Sends the end of a body some time after the rest; returns the answer."""
    host, _, port = platform.settings[0].caller_address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f'{method} {path} HTTP/1.1\r\nHost: shop.example\r\n'
        'Lycheedyke-Request-Id: r-9\r\nLycheedyke-Deadline-Ms: 9000\r\n'
        'Content-Length: 9\r\n\r\nhalf'.encode(),
    )
    await asyncio.sleep(delay_s)
    writer.write(b'whole')
    answer = await reader.read()
    writer.close()
    return answer


# Guards against LOST: a request that is passed on late in a stop, since its body
# arrives late, and is cut at the end of the grace period.
@pytest.mark.parametrize('delay_s', [1.3, 1.6, 1.75])
@pytest.mark.parametrize(
    ('method', 'path'), [('POST', '/order/1'), ('PUT', '/read/1')]
)
def test_a_request_whose_body_comes_too_late_in_a_stop_is_refused(
    tmp_path: Path, method: str, path: str, delay_s: float
) -> None:
    """Its head arrived before the stop began."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _be_patient(platform)
        await platform.send('/read/1')
        await platform.send('/order/1', method='POST')
        arrived = platform.count_arrivals()
        sending = asyncio.create_task(
            _send_slowly(platform, method, path, delay_s + 0.1)
        )
        await asyncio.sleep(0.1)
        await platform.instances.pop().stop()
        answer = await sending
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert answer.endswith(b'stopping')
        assert platform.count_arrivals() == arrived

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)


def test_a_request_whose_body_comes_in_time_is_served(tmp_path: Path) -> None:
    """Its run ends before the grace period does."""

    async def _scene(platform: GatewayTestbed) -> None:
        await _be_patient(platform)
        sending = asyncio.create_task(
            _send_slowly(platform, 'POST', '/order/1', 0.6)
        )
        await asyncio.sleep(0.1)
        await platform.instances.pop().stop()
        assert (await sending).startswith(b'HTTP/1.1 200 ')

    run_scenario(tmp_path, _scene, limit_s=LIMIT_SECONDS)
