"""A stand-in of a backend, as PROTOCOL.md describes a sound one."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from store import Away, Store
from wire_io import Message, Server, encode, read_message

HEARTBEAT_S = 1.5
LAPSE_S = 3 * HEARTBEAT_S
POISON = '/poison'


class Arrival(NamedTuple):
    """A request that reached a backend."""

    at: float
    request: str
    path: str
    backend: str
    zone: str
    ran: bool


class Backend(Server):
    """Runs requests in its slots, tells its load, registers in the store."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        port: int,
        store: Store,
        *,
        slots: int = 9,
        work_s: float = 0.05,
    ) -> None:
        """Describes a backend that is not started."""
        super().__init__(port)
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.arrivals: list[Arrival] = []
        self.crashes: list[float] = []
        self.content: Callable[[str], bytes] = lambda path: b'x' * 400
        self.back_s = 3.0
        self.is_up = False
        self._store = store
        self._starts = 0
        self._seq = 0
        self._born = 0
        self._running = 0
        self._free = asyncio.Semaphore(slots)
        self._beat: asyncio.Task[None] | None = None
        self._later: set[asyncio.Task[None]] = set()

    @property
    def id(self) -> str:
        """The id of this start of the backend."""
        return f'{self.name}-{self._starts}'

    async def start(self) -> None:
        """Starts a new incarnation."""
        self._starts += 1
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._running = 0
        self._free = asyncio.Semaphore(self.slots)
        self.is_up = True
        await self.open()
        self._beat = asyncio.create_task(self._heartbeat())

    def stop(self) -> None:
        """Ends at once."""
        self.is_up = False
        if self._beat is not None:
            self._beat.cancel()
        self.close()

    def leave(self) -> None:
        """Leaves without a report: its entry goes, and it serves on."""
        if self._beat is not None:
            self._beat.cancel()
        self._store.delete(f'servers/{self.id}')

    def crash(self) -> None:
        """Ends at once; its entry lapses, and it is back after a while."""
        if not self.is_up:
            return
        self.crashes.append(time.monotonic())
        self.stop()
        for work in (self._return(), self._lapse(f'servers/{self.id}')):
            task = asyncio.create_task(work)
            self._later.add(task)
            task.add_done_callback(self._later.discard)

    async def _return(self) -> None:
        await asyncio.sleep(self.back_s)
        await self.start()

    async def _lapse(self, key: str) -> None:
        await asyncio.sleep(LAPSE_S)
        self._store.delete(key)

    def entry(self) -> dict[str, Any]:
        """Returns the entry in the store."""
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldLeft': '0ms',
            'seq': self._seq,
            'born': self._born,
        }

    def _is_listed(self) -> bool:
        """Returns whether the store's entry differs in `seq` at most."""
        item = self._store.items.get(f'servers/{self.id}')
        if item is None or item.value is None:
            return False
        listed = json.loads(item.value)
        return {**listed, 'seq': self._seq} == self.entry()

    async def _heartbeat(self) -> None:
        while True:
            self._seq += 1
            try:
                # The entry changes when more than `seq` does.
                if not self._is_listed():
                    self._store.put(f'servers/{self.id}', self.entry())
            except Away:
                await asyncio.sleep(0.2)
                continue
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one request at a time on a connection."""
        while (request := await read_message(reader)) is not None:
            writer.write(await self._answer(request))
            await writer.drain()
            if request.headers.get('connection', '').lower() == 'close':
                return

    async def _answer(self, request: Message) -> bytes:
        _, path, _ = request.first.split(' ')
        name = request.headers.get('lycheedyke-request-id', '')
        expected = request.headers.get('lycheedyke-expect-instance', self.id)
        headers = {
            'Lycheedyke-Request-Id': name,
            'Lycheedyke-Instance-Id': self.id,
        }
        if expected != self.id:
            self._record(name, path, ran=False)
            return encode('HTTP/1.1 421 Misdirected Request', headers)
        self._record(name, path, ran=True)
        if POISON in path:
            self.crash()
            raise ConnectionResetError
        async with self._free:
            self._running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
        headers['Lycheedyke-Server-Seal'] = f'seal.{self.id}.{name}'
        headers['Lycheedyke-Server-Load'] = f'{self._running},0,{self.slots}'
        headers['Keep-Alive'] = 'timeout=10'
        return encode('HTTP/1.1 200 OK', headers, self.content(path))

    def _record(self, request: str, path: str, *, ran: bool) -> None:
        self.arrivals.append(
            Arrival(
                time.monotonic(), request, path, self.id, self.zone, ran
            )
        )
