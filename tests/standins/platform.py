"""Stand-in of the platform: a key-value store with watches, and instances.

Run as `python -m standins.platform PORT [NAME=CONTROL_ADDRESS ...]`.
POST /fault sets faults: {"down": bool, "lose_writes": int, "delay_s": float}.
GET /calls returns the number of calls.
"""

import asyncio
import base64
import sys
from typing import Any, NamedTuple

from aiohttp import web

MAX_WAIT_SECONDS = 60


class _Entry(NamedTuple):
    value: str
    revision: int


class Store:
    """Keys, the revision counter and the active faults."""

    def __init__(self, instances: dict[str, str]) -> None:
        """Initializes an empty store."""
        self._instances = instances
        self._entries: dict[str, _Entry] = {}
        self._revision = 0
        self._changed = asyncio.Condition()
        self._faults: dict[str, Any] = {}
        self._calls = 0

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            client_max_size=2_097_152,
            middlewares=[self._fail],
        )
        app.add_routes(
            [
                web.get('/v1/kv/{key:.*}', self._get),
                web.put('/v1/kv/{key:.*}', self._put),
                web.delete('/v1/kv/{key:.*}', self._delete),
                web.get('/v1/range', self._range),
                web.get('/v1/watch', self._watch),
                web.get('/v1/instances', self._list),
                web.post('/fault', self._fault),
                web.get('/calls', self._count),
            ],
        )
        return app

    @web.middleware
    async def _fail(self, request: web.Request, handler: Any) -> Any:
        if request.path in {'/fault', '/calls'}:
            return await handler(request)
        self._calls += 1
        if self._faults.get('down'):
            raise web.HTTPServiceUnavailable
        await asyncio.sleep(self._faults.get('delay_s', 0))
        response = await handler(request)
        if request.method == 'PUT' and self._faults.get('lose_writes', 0) > 0:
            self._faults['lose_writes'] -= 1
            raise web.HTTPGatewayTimeout
        return response

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        entry = self._entries.get(key)
        if entry is None:
            raise web.HTTPNotFound
        return web.json_response({'key': key, **entry._asdict()})

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info['key']
        expected = int(request.query['revision'])
        body = await request.read()
        present = self._entries.get(key)
        if expected != (present.revision if present else 0):
            raise web.HTTPConflict
        self._revision += 1
        value = base64.b64encode(body).decode()
        self._entries[key] = _Entry(value, self._revision)
        async with self._changed:
            self._changed.notify_all()
        return web.json_response(self._revision)

    async def _delete(self, request: web.Request) -> web.Response:
        self._entries.pop(request.match_info['key'], None)
        return web.json_response(self._revision)

    async def _range(self, request: web.Request) -> web.Response:
        start = request.query['start']
        return self._answer(
            request.query['prefix'],
            lambda key, _: key >= start,
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = int(request.query['after'])
        wait = min(int(request.query['wait_ms']) / 1000, MAX_WAIT_SECONDS)

        def is_new(key: str, entry: _Entry) -> bool:
            return entry.revision > after

        def has_new() -> bool:
            return any(
                key.startswith(prefix) and is_new(key, entry)
                for key, entry in self._entries.items()
            )

        async with self._changed:
            try:
                async with asyncio.timeout(wait):
                    await self._changed.wait_for(has_new)
            except TimeoutError:
                pass
        return self._answer(prefix, is_new)

    def _answer(self, prefix: str, accept: Any) -> web.Response:
        entries = [
            {'key': key, **entry._asdict()}
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix) and accept(key, entry)
        ]
        return web.json_response(
            {'revision': self._revision, 'entries': entries},
        )

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(self._instances)

    async def _fault(self, request: web.Request) -> web.Response:
        self._faults = await request.json()
        return web.json_response(self._faults)

    async def _count(self, request: web.Request) -> web.Response:
        return web.json_response(self._calls)


async def _make_app(instances: dict[str, str]) -> web.Application:
    return Store(instances).app()


def main() -> None:
    """Serves until the process is ended."""
    port, *listed = sys.argv[1:]
    instances = dict(pair.split('=', 1) for pair in listed)
    web.run_app(
        _make_app(instances),
        host='127.0.0.1',
        port=int(port),
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
