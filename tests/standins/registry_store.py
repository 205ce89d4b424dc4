"""Stand-in of the registry store: revisions, watches, pages and leases.

It implements the documented HTTP interface of the store. Attributes switch on
faults: `down` (every call gets 503), `silent` (no call gets a response),
`lose_writes` (so many writes are applied, but their responses are lost),
`write_delay_s` (writes are applied after this delay and get no response) and
`compacted_revision` (the history up to this revision is dropped, and watches
after an earlier revision get 410) and `refuse_calls` (so many calls get the
status `refusal`) and `lose_watches` (so many watches get no response).
`cut_watches` ends the watches that wait. `come_back_from_copy` replaces its content with an
older copy.
"""

import asyncio
import base64
import contextlib
import json
from collections.abc import Mapping
from typing import Any

from aiohttp import web

from standins.store_copies import StoreCopies, StoreCopy, StoreItem

PAGE_ITEMS = 3
POLL_SECONDS = 0.01
ERA_HEADER = 'Store-Era'


class FakeRegistryStore:
    """Keys with revisions, held in memory.

    Attributes:
        era: how often the store came back from an older copy; None if its
            responses do not tell it.
    """

    def __init__(self) -> None:
        """Initializes an empty store at revision 1."""
        self.down = False
        self.silent = False
        self.lose_writes = 0
        self.lose_watches = 0
        self.refuse_calls = 0
        self.refusal = 503
        self.write_delay_s = 0.0
        self.compacted_revision = 0
        self.era: int | None = 0
        self.calls: list[str] = []
        self._revision = 1
        self._items: dict[str, StoreItem] = {}
        self._leases: set[int] = set()
        self._next_lease = 100
        self._renewed: dict[int, tuple[float, float]] = {}
        self._delayed_writes: set[asyncio.Task[None]] = set()
        self._watches: set[asyncio.Transport] = set()
        self._copies = StoreCopies()
        self._keep_copy()

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(middlewares=[self._tell_era, self._fail])
        app.add_routes(
            [
                web.get('/kv-range', self._range),
                web.get('/kv-watch', self._watch),
                web.post('/kv-txn', self._write),
                web.post('/kv-lease', self._lease),
                web.post('/kv-keep/{lease}', self._keep),
                web.delete('/kv-lease-end/{lease}', self._end),
            ],
        )
        return app

    def put(self, key: str, value: object, lease: int = 0) -> int:
        """Writes a key and returns its revision.

        Bytes are written unchanged, other values as JSON.
        """
        self._revision += 1
        content = (
            value if isinstance(value, bytes) else json.dumps(value).encode()
        )
        known = self._items.get(key)
        created = self._revision
        if known is not None and known.value is not None:
            created = known.created
        self._items[key] = StoreItem(content, self._revision, lease, created)
        self._keep_copy()
        return self._revision

    def remove(self, key: str) -> int:
        """Removes a key, leaves a tombstone and returns its revision."""
        self._revision += 1
        self._items[key] = StoreItem(None, self._revision, 0)
        self._keep_copy()
        return self._revision

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self._leases.discard(lease)
        for key, item in list(self._items.items()):
            if item.lease == lease and item.value is not None:
                self.remove(key)

    def cut_watches(self) -> None:
        """Closes the connections on which a watch waits, unanswered."""
        for transport in self._watches:
            transport.close()

    def end_expired_leases(self) -> None:
        """Ends the leases that were not renewed within their time to live."""
        now = asyncio.get_running_loop().time()
        for lease in list(self._leases):
            kept, ttl_s = self._renewed[lease]
            if now - kept > ttl_s:
                self.end_lease(lease)

    def value(self, key: str) -> bytes:
        """Returns the value of an existing key."""
        content = self._items[key].value
        assert content is not None, key
        return content

    def lease(self, key: str) -> int:
        """Returns the lease of an existing key."""
        return self._items[key].lease

    def compact(self) -> None:
        """Drops the history of all changes up to the current revision."""
        self.compacted_revision = self._revision

    def written_keys(self) -> list[str]:
        """Returns the keys of others' records, also of removed ones."""
        return sorted(
            key for key in self._items if key.startswith(('op/', 'servers/'))
        )

    def keys(self) -> set[str]:
        """Returns the existing keys."""
        return {key for key, item in self._items.items() if item.value}

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return self._revision

    async def come_back_from_copy(
        self,
        age_s: float,
        *,
        away_s: float = 0,
        written_again: Mapping[str, float] | None = None,
    ) -> None:
        """Goes away, comes back from a copy, and gets lost writes again.

        Args:
            age_s: the age of the copy when the store goes away.
            away_s: how long the store is away.
            written_again: keys whose last state is written again, with the
                time of the write after the store's return. A key that was
                written otherwise since is left so.
        """
        copy = self._copies.find(age_s)
        self.down = True
        await asyncio.sleep(away_s)
        last = self._items
        self._restore(copy)
        self.down = False
        await self._write_again(last, written_again or {})

    def restore(self, age_s: float) -> None:
        """Comes back from a copy at once."""
        self._restore(self._copies.find(age_s))

    async def _write_again(
        self,
        last: Mapping[str, StoreItem],
        times: Mapping[str, float],
    ) -> None:
        started = asyncio.get_running_loop().time()
        restored = self._revision
        for key in sorted(times, key=times.__getitem__):
            await asyncio.sleep(
                times[key] - (asyncio.get_running_loop().time() - started)
            )
            if key in self._items and self._items[key].revision > restored:
                continue
            item = last.get(key)
            if item is None or item.value is None:
                self.remove(key)
            else:
                self.put(key, item.value)

    def _keep_copy(self) -> None:
        copy = StoreCopy(
            asyncio.get_running_loop().time(),
            self._revision,
            dict(self._items),
            frozenset(self._leases),
            self._next_lease,
        )
        self._copies.keep(copy)

    def _restore(self, copy: StoreCopy) -> None:
        """Replaces the content; revisions and leases are given out again."""
        now = asyncio.get_running_loop().time()
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._leases = set(copy.leases)
        self._next_lease = copy.next_lease
        self._renewed = {
            lease: (now, self._renewed[lease][1]) for lease in copy.leases
        }
        self.era = (self.era or 0) + 1
        self._copies.drop_after(copy)

    @web.middleware
    async def _tell_era(self, request: web.Request, handler: Any) -> Any:
        try:
            response = await handler(request)
        except web.HTTPException as error:
            self._add_era(error)
            raise
        self._add_era(response)
        return response

    def _add_era(self, response: web.StreamResponse) -> None:
        if self.era is not None and not response.prepared:
            response.headers[ERA_HEADER] = str(self.era)

    @web.middleware
    async def _fail(self, request: web.Request, handler: Any) -> Any:
        self.calls.append(request.path)
        if self.silent:
            await asyncio.Event().wait()
        if self.down:
            raise web.HTTPServiceUnavailable
        if self.refuse_calls:
            self.refuse_calls -= 1
            return web.Response(status=self.refusal)
        if self.write_delay_s and request.path == '/kv-txn':
            await request.read()
            delayed = asyncio.create_task(self._write_later(request, handler))
            self._delayed_writes.add(delayed)
            await asyncio.Event().wait()
        response = await handler(request)
        if self.lose_writes and request.path == '/kv-txn':
            self.lose_writes -= 1
            assert request.transport is not None
            request.transport.abort()
        return response

    async def _write_later(self, request: web.Request, handler: Any) -> None:
        await asyncio.sleep(self.write_delay_s)
        with contextlib.suppress(web.HTTPException):
            await handler(request)

    async def _range(self, request: web.Request) -> web.Response:
        prefix = request.query['prefix']
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key, item in self._items.items()
            if key.startswith(prefix) and key > after and item.value
        )
        page = keys[:PAGE_ITEMS]
        return web.json_response(
            {
                'items': [self._describe(key) for key in page],
                'hasMore': len(keys) > len(page),
                'currentRev': self._revision,
            },
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if self.lose_watches:
            self.lose_watches -= 1
            await asyncio.Event().wait()
        after = int(request.query['after'])
        if not self.compacted_revision <= after <= self._revision:
            raise web.HTTPGone
        era = self.era
        polls = int(request.query['waitMs']) / 1000 / POLL_SECONDS
        transport = request.transport
        assert transport is not None
        self._watches.add(transport)
        try:
            while self._revision <= after and polls > 0:
                polls -= 1
                await asyncio.sleep(POLL_SECONDS)
                if self.era != era:
                    raise web.HTTPServiceUnavailable
        finally:
            self._watches.discard(transport)
        changed = sorted(
            (item.revision, key)
            for key, item in self._items.items()
            if item.revision > after
        )
        return web.json_response(
            {
                'events': [self._describe(key) for _, key in changed],
                'currentRev': self._revision,
            },
        )

    async def _write(self, request: web.Request) -> web.Response:
        change = await request.json()
        for put in change['puts']:
            lease = put.get('lease', 0)
            if lease and lease not in self._leases:
                raise web.HTTPNotFound
            self.put(put['key'], base64.b64decode(put['value']), lease)
        for key in change['delete']:
            if key in self.keys():
                self.remove(key)
        return web.json_response({'revision': self._revision})

    async def _lease(self, request: web.Request) -> web.Response:
        body = await request.json()
        self._next_lease += 1
        self._leases.add(self._next_lease)
        ttl_s = int(body['ttl_time'].removesuffix('ms')) / 1000
        self._renewed[self._next_lease] = (
            asyncio.get_running_loop().time(),
            ttl_s,
        )
        self._keep_copy()
        return web.json_response(
            {'lease': self._next_lease, 'ttl_time': body['ttl_time']},
        )

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info['lease'])
        if lease not in self._leases:
            raise web.HTTPNotFound
        self._renewed[lease] = (
            asyncio.get_running_loop().time(),
            self._renewed[lease][1],
        )
        return web.json_response({'ttl_time': '3000ms'})

    async def _end(self, request: web.Request) -> web.Response:
        self.end_lease(int(request.match_info['lease']))
        return web.json_response({})

    def _describe(self, key: str) -> dict[str, Any]:
        item = self._items[key]
        if item.value is None:
            return {'key': key, 'revision': item.revision, 'tombstone': True}
        return {
            'key': key,
            'value': base64.b64encode(item.value).decode(),
            'revision': item.revision,
            'created': item.created,
            'lease': item.lease,
        }


def upstream_value(service: str, address: str, **changes: Any) -> Any:
    """Returns the value that an upstream writes to its key."""
    return {
        'service': service,
        'addr': address,
        'zone': 'pnw-a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'coldLeft': '0ms',
        'seq': 4,
        'born': 1_770_000_000_000,
        **changes,
    }


def config_value(
    version: int,
    routes: list[dict[str, Any]],
    tenants: list[dict[str, Any]] | None = None,
    **limits: Any,
) -> Any:
    """Returns a configuration of the given routes and two services."""
    columns = (
        'name',
        'host',
        'prefix',
        'type',
        'timeout',
        'goal',
        'priority',
        'split',
        'attempts',
        'sticky',
        'homeRegions',
        'public',
        'service',
    )
    defaults = {
        'host': 'shop.example',
        'type': 'safe',
        'timeout': '1200ms',
        'goal': '250ms',
        'priority': 1,
        'attempts': 2,
        'sticky': True,
        'homeRegions': [],
    }
    value = {
        'version': f'{version:08x}',
        'routes': {
            'columns': columns,
            'rows': [
                [{**defaults, **route}.get(name) for name in columns]
                for route in routes
            ],
        },
        'services': {
            'columns': ['name', 'maxConns', 'cold', 'coldPerS'],
            'rows': [['desk', 780, '3s', 7.1], ['guide', 780, '3s', 7.1]],
        },
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
            **limits,
        },
    }
    if tenants is None:
        return value
    return {**value, 'tenants': _to_table(tenants)}


def _to_table(tenants: list[dict[str, Any]]) -> Any:
    columns = (
        'name',
        'apiKeys',
        'priority',
        'ratePerS',
        'burst',
        'homeRegions',
    )
    rows = [[tenant.get(name) for name in columns] for tenant in tenants]
    return {'columns': columns, 'rows': rows}
