"""Entry instances of simple designs, as a baseline for the comparison.

Run as `python -m bench.compare.simple_entry PORT MODE ZONE TICKET ENTRIES`.
ENTRIES is a JSON file of entry addresses by zone. The mode `static` gives
each entry of a zone an equal share of the slots of each upstream of the zone,
but at least one slot; the mode `random` sends each request to a random
upstream of the region, without a limit.
"""

import asyncio
import json
import random
import sys
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
import uvloop
from aiohttp import web

LOOKUP_ENTRIES = 3
TTL_MS = 2000
HTTP_UNAVAILABLE = 503
HTTP_BAD_GATEWAY = 502
RETRY_AFTER_SECONDS = '0.5'


class SimpleEntry:
    """One entry instance of a simple design.

    Args:
        mode: `static` or `random`.
        zone: the zone of the instance.
        ticket: the ticket with all zones and upstreams.
        entries: addresses of all entry instances, by zone.
    """

    def __init__(
        self,
        mode: str,
        zone: str,
        ticket: dict[str, Any],
        entries: dict[str, list[str]],
    ) -> None:
        """Selects the upstreams that the mode lets the instance use."""
        region_of = {
            name: each['region'] for name, each in ticket['zones'].items()
        }
        region = region_of[zone]
        self._mode = mode
        self._region_entries = [
            address
            for name, addresses in entries.items()
            if region_of[name] == region
            for address in addresses
        ]
        self._zone_entry_count = len(entries[zone])
        self._upstreams = {
            name: upstream
            for name, upstream in ticket['upstreams'].items()
            if self._may_use(zone, region, upstream['zone'], region_of)
        }
        self._in_flight: Counter[str] = Counter()
        self._session: aiohttp.ClientSession | None = None

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application()
        app.add_routes(
            [
                web.get('/v1/lookup', self._lookup),
                web.route(
                    '*',
                    '/v1/services/{service}/{tail:.*}',
                    self._request,
                ),
            ],
        )
        return app

    def _may_use(
        self,
        zone: str,
        region: str,
        upstream_zone: str,
        region_of: dict[str, str],
    ) -> bool:
        if self._mode == 'static':
            return upstream_zone == zone
        return region_of[upstream_zone] == region

    async def _lookup(self, request: web.Request) -> web.Response:
        chosen = random.sample(self._region_entries, LOOKUP_ENTRIES)
        entries = [
            {
                'instance': address,
                'address': address,
                'incarnation': 'none0000',
                'age_ms': 0,
            }
            for address in chosen
        ]
        return web.json_response({'entries': entries, 'ttl_ms': TTL_MS})

    async def _request(self, request: web.Request) -> web.Response:
        service = request.match_info['service']
        name = self._choose(service)
        if name is None:
            return _refuse(HTTP_UNAVAILABLE, 'not-run', 'no-room')
        target = request.raw_path.removeprefix(f'/v1/services/{service}')
        self._in_flight[name] += 1
        try:
            return await self._send(name, request, target)
        except (aiohttp.ClientConnectorError, ConnectionRefusedError):
            return _refuse(HTTP_UNAVAILABLE, 'not-run', 'unreachable')
        except (aiohttp.ClientError, OSError):
            return _refuse(HTTP_BAD_GATEWAY, 'unknown', 'broke')
        finally:
            self._in_flight[name] -= 1

    def _choose(self, service: str) -> str | None:
        names = [
            name
            for name, upstream in self._upstreams.items()
            if upstream['service'] == service
        ]
        if self._mode == 'static':
            names = [name for name in names if self._has_free_slot(name)]
        return random.choice(names) if names else None

    def _has_free_slot(self, name: str) -> bool:
        slots = int(self._upstreams[name]['slots'])
        return self._in_flight[name] < max(1, slots // self._zone_entry_count)

    async def _send(
        self,
        name: str,
        request: web.Request,
        target: str,
    ) -> web.Response:
        if self._session is None:
            self._session = aiohttp.ClientSession()
        async with self._session.request(
            request.method,
            f'http://{self._upstreams[name]["address"]}{target}',
            data=await request.read(),
        ) as response:
            return web.Response(
                status=response.status,
                body=await response.read(),
                headers={'Lycheedyke-Outcome': 'answered'},
            )


def _refuse(status: int, outcome: str, reason: str) -> web.Response:
    return web.json_response(
        {'outcome': outcome, 'reason': reason},
        status=status,
        headers={
            'Lycheedyke-Outcome': outcome,
            'Lycheedyke-Reason': reason,
            'Retry-After': RETRY_AFTER_SECONDS,
        },
    )


async def _serve(port: int, entry: SimpleEntry) -> None:
    runner = web.AppRunner(entry.app(), access_log=None)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', port).start()
    await asyncio.Event().wait()


def main() -> None:
    """Serves requests until the process ends."""
    port, mode, zone, ticket, entries = sys.argv[1:]
    entry = SimpleEntry(
        mode,
        zone,
        json.loads(Path(ticket).read_text()),
        json.loads(Path(entries).read_text()),
    )
    uvloop.run(_serve(int(port), entry))


if __name__ == '__main__':
    main()
