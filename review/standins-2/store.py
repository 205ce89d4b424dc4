"""A stand-in of the platform's store, as PROTOCOL.md describes it.

It also plays the drill of the rules by letter: it is away for a moment and
comes back from a copy; revisions go back, and `Store-Era` rises by one.
"""

import asyncio
import base64
import json
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

from wire_io import Message, Server, encode, read_message

HISTORY_S = 20.0
PAGE_ITEMS = 500
SWEEP_S = 0.05
STATUS = {200: 'OK', 400: 'Bad Request', 403: 'Forbidden', 404: 'Not Found'}
STATUS |= {410: 'Gone', 412: 'Precondition Failed'}


class Item(NamedTuple):
    """One item; without a value it is a tombstone."""

    value: bytes | None
    revision: int
    created: int
    lease: int


class Event(NamedTuple):
    """One change."""

    at: float
    key: str
    item: Item


class Copy(NamedTuple):
    """The whole content of the store at one time."""

    at: float
    revision: int
    items: dict[str, Item]
    leases: dict[int, tuple[float, float]]
    next_lease: int


class Away(Exception):
    """The store does not answer."""


class Store(Server):
    """Keys, leases, watches; calls from the system over HTTP."""

    def __init__(self, port: int) -> None:
        """Starts empty at revision 1."""
        super().__init__(port)
        self.era = 0
        self.is_away = False
        self.revision = 1
        self.items: dict[str, Item] = {}
        # By id: the time to live and what is left of it.
        self.leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self._events: list[Event] = []
        self._floor = 1
        self._changed = asyncio.Event()

    # The operator and the backends call these directly.

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Writes an item and returns its revision."""
        if self.is_away:
            raise Away
        content = value if isinstance(value, bytes) else json.dumps(value)
        if isinstance(content, str):
            content = content.encode()
        return self._write(key, content, lease)

    def delete(self, key: str) -> int:
        """Removes an item and returns the revision of that change."""
        if self.is_away:
            raise Away
        return self._write(key, None, 0)

    def copy(self) -> Copy:
        """Returns a copy of everything."""
        return Copy(
            time.monotonic(),
            self.revision,
            dict(self.items),
            dict(self.leases),
            self._next_lease,
        )

    def go_away(self) -> None:
        """Answers nobody, and resets all connections."""
        self.is_away = True
        self.close()

    async def come_back(self, copy: Copy | None) -> None:
        """Answers again, with the content of a copy if there is one."""
        if copy is not None:
            self.revision = copy.revision
            self.items = dict(copy.items)
            self.leases = dict(copy.leases)
            self._next_lease = copy.next_lease
            self._events = []
            self._floor = copy.revision
            self.era += 1
        self.is_away = False
        await self.open()

    async def sweep(self) -> None:
        """Ends leases when their time is over; they pause while it is away."""
        while True:
            await asyncio.sleep(SWEEP_S)
            if self.is_away:
                continue
            for lease, (ttl, left) in list(self.leases.items()):
                self.leases[lease] = (ttl, left - SWEEP_S)
                if left <= SWEEP_S:
                    self._end_lease(lease)
            now = time.monotonic()
            while self._events and self._events[0].at < now - HISTORY_S:
                self._floor = self._events.pop(0).item.revision

    def _write(self, key: str, content: bytes | None, lease: int) -> int:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(content, self.revision, created, lease)
        if content is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item
        self._events.append(Event(time.monotonic(), key, item))
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.lease == lease:
                self._write(key, None, 0)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the calls of one connection."""
        while (call := await read_message(reader)) is not None:
            status, body = await self._answer(call)
            headers = {
                'Content-Type': 'application/json',
                'Store-Era': str(self.era),
            }
            first = f'HTTP/1.1 {status} {STATUS[status]}'
            writer.write(encode(first, headers, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(self, call: Message) -> tuple[int, Any]:
        method, target, _ = call.first.split(' ')
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        match method, url.path.strip('/').split('/'):
            case 'GET', ['kv-key']:
                item = self.items.get(query['key'])
                if item is None:
                    return 404, {'currentRev': self.revision}
                described = _describe(query['key'], item)
                return 200, {**described, 'currentRev': self.revision}
            case 'GET', ['kv-range']:
                return self._range(query)
            case 'GET', ['kv-watch']:
                return await self._watch(query)
            case 'POST', ['kv-txn']:
                return self._transact(json.loads(call.body))
            case 'POST', ['kv-lease']:
                text = json.loads(call.body)['ttl_time']
                ttl = _seconds(text)
                self._next_lease += 1
                self.leases[self._next_lease] = (ttl, ttl)
                return 200, {'lease': self._next_lease, 'ttl_time': text}
            case 'POST', ['kv-keep', lease]:
                if int(lease) not in self.leases:
                    return 404, {}
                ttl, _ = self.leases[int(lease)]
                self.leases[int(lease)] = (ttl, ttl)
                return 200, {'ttl_time': f'{round(ttl * 1000)}ms'}
            case 'DELETE', ['kv-lease-end', lease]:
                if int(lease) not in self.leases:
                    return 404, {}
                self._end_lease(int(lease))
                return 200, {}
        return 400, {}

    def _range(self, query: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query['prefix']) and key > query.get('after', '')
        )
        page = keys[:PAGE_ITEMS]
        return 200, {
            'items': [_describe(key, self.items[key]) for key in page],
            'hasMore': len(keys) > len(page),
            'currentRev': self.revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, Any]:
        after = int(query['after'])
        end = time.monotonic() + min(30_000, int(query['waitMs'])) / 1000
        while True:
            if not self._floor <= after <= self.revision:
                return 410, {}
            events = [
                _describe(event.key, event.item)
                for event in self._events
                if event.item.revision > after
                and event.key.startswith(query['prefix'])
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _transact(self, change: dict[str, Any]) -> tuple[int, Any]:
        puts = change.get('puts', [])
        keys = [put['key'] for put in puts] + change.get('delete', [])
        if any(key.startswith(('op/', 'servers/')) for key in keys):
            return 403, {}
        for row in change.get('expect', []):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                return 412, {'items': []}
        leases = {put.get('lease', 0) for put in puts} - {0}
        if leases - self.leases.keys():
            return 404, {}
        for put in puts:
            content = base64.b64decode(put['value'])
            self._write(put['key'], content, put.get('lease', 0))
        for key in change.get('delete', []):
            self._write(key, None, 0)
        return 200, {'revision': self.revision}


def _describe(key: str, item: Item) -> dict[str, Any]:
    if item.value is None:
        return {'key': key, 'revision': item.revision, 'tombstone': True}
    return {
        'key': key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }


def _seconds(text: str) -> float:
    if text.endswith('ms'):
        return float(text[:-2]) / 1000
    return float(text[:-1])
