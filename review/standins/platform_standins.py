"""Stand-ins of the platform for the cases: store, servers, machines, clients.

They follow the pages of the platform (PROTOCOL.md, DEPLOY.md) and use the
standard library only. The store, the servers and the clients run in the
process of the case; each machine of the system is a process of its own, which
the command of the deploy file starts.
"""

import asyncio
import base64
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = 'shop.example'
ID = 'lycheedyke-request-id'
# The bounds of the site file cfs-orders.
BOUNDS = {
    'grace': '6s',
    'budgetRatio': 0.2,
    'budgetWindow': '10s',
    'budgetExtra': 124,
    'shiftMax': 0.15,
}
ZONES = {'pnw-a': 'pnw', 'mountain-a': 'mountain', 'norcal-a': 'norcal'}


def free_port(ip):
    """Returns a free port of a loopback address."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return sock.getsockname()[1]


class Request:
    """A request as it was read from a socket."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.at = time.monotonic()

    @property
    def id(self):
        return self.headers.get(ID, '')


async def read_request(reader):
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    lines = head.split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = _headers(lines[1:])
    return Request(method, target, headers, await _body(reader, headers))


async def read_response(reader):
    """Returns status, headers and the whole body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin1')
    lines = head.split('\r\n')
    status = int(lines[0].split(' ')[1])
    headers = _headers(lines[1:])
    return status, headers, await _body(reader, headers)


def _headers(lines):
    found = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            found[name.strip().lower()] = value.strip()
    return found


async def _body(reader, headers):
    if 'content-length' in headers:
        return await reader.readexactly(int(headers['content-length']))
    body = b''
    if 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    return body


class Store:
    """The platform's store: keys, revisions, watches and leases."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.leases = {}
        self.cuts = 0
        self._next_lease = 77000
        self._changed = asyncio.Event()
        self._watches = {}
        self._server = None
        self._expiry = None

    async def open(self, ip='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'
        self._expiry = asyncio.create_task(self._expire())

    def close(self):
        self._expiry.cancel()
        self._server.close()

    def put(self, key, value, lease=0):
        self.revision += 1
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(key, text, lease)

    def remove(self, key):
        """Removes a key; its watchers are told."""
        if key in self.items and 'tombstone' not in self.items[key]:
            self.revision += 1
            self.items[key] = {
                'key': key,
                'revision': self.revision,
                'tombstone': True,
            }
            self._tell()

    def cut_watches(self):
        """Closes the connections on which a watch waits, unanswered."""
        for writer in list(self._watches.values()):
            self.cuts += 1
            writer.close()

    def _write(self, key, text, lease):
        known = self.items.get(key, {})
        created = known.get('created', self.revision)
        if 'tombstone' in known:
            created = self.revision
        self.items[key] = {
            'key': key,
            'value': text,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self._tell()

    def _tell(self):
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item.get('lease') == lease:
                self.remove(key)

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while not writer.is_closing():
                request = await read_request(reader)
                url = urlsplit(request.target)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                body = json.loads(request.body) if request.body else {}
                if url.path == '/kv-watch':
                    self._watches[id(writer)] = writer
                    try:
                        status, answer = await self._watch(query)
                    finally:
                        self._watches.pop(id(writer), None)
                else:
                    status, answer = self._call(url.path, query, body)
                if writer.is_closing():
                    return
                text = json.dumps(answer).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json'
                    f'\r\nStore-Era: 0\r\nContent-Length: {len(text)}'
                    '\r\n\r\n'.encode() + text
                )
                await writer.drain()
        writer.close()

    async def _watch(self, query):
        after = int(query['after'])
        prefix = query.get('prefix', '')
        until = time.monotonic() + int(query['waitMs']) / 1000
        while True:
            events = sorted(
                (
                    item
                    for key, item in self.items.items()
                    if key.startswith(prefix) and item['revision'] > after
                ),
                key=lambda item: item['revision'],
            )
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {'events': events, 'currentRev': self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _call(self, path, query, body):
        if path == '/kv-range':
            return self._range(query)
        if path == '/kv-key':
            item = self.items.get(query['key'])
            if item is None or 'tombstone' in item:
                return 404, {}
            return 200, {**item, 'currentRev': self.revision}
        if path == '/kv-txn':
            return self._txn(body)
        if path == '/kv-lease':
            self._next_lease += 1
            ttl = _seconds(body['ttl_time'])
            self.leases[self._next_lease] = (time.monotonic() + ttl, ttl)
            return 200, {
                'lease': self._next_lease,
                'ttl_time': body['ttl_time'],
            }
        lease = int(unquote(path.rpartition('/')[2]))
        if lease not in self.leases:
            return 404, {}
        if path.startswith('/kv-lease-end/'):
            self._end_lease(lease)
            return 200, {}
        ttl = self.leases[lease][1]
        self.leases[lease] = (time.monotonic() + ttl, ttl)
        return 200, {'ttl_time': f'{int(ttl * 1000)}ms'}

    def _range(self, query):
        found = [
            self.items[key]
            for key in sorted(self.items)
            if key.startswith(query.get('prefix', ''))
            and key > query.get('after', '')
            and 'tombstone' not in self.items[key]
        ]
        return 200, {
            'items': found[:500],
            'hasMore': len(found) > 500,
            'currentRev': self.revision,
        }

    def _txn(self, body):
        for row in body.get('expect', []):
            item = self.items.get(row['key'], {})
            known = 0 if 'tombstone' in item else item.get('revision', 0)
            if known != row['revision']:
                return 412, {'items': []}
        for put in body.get('puts', []):
            if put.get('lease') and put['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get('puts', []):
            self._write(put['key'], put['value'], put.get('lease', 0))
        for key in body.get('delete', []):
            self.remove(key)
        return 200, {'revision': self.revision}


def _seconds(text):
    number, unit = re.fullmatch(r'([\d.]+)(ms|s)', text).groups()
    return float(number) / (1000 if unit == 'ms' else 1)


class Server:
    """A sound backend: runs `slots` requests at once, sheds the others.

    `serve` may be replaced by a case. `runs` holds the id of each request
    that began to run, `arrivals` each request that reached it.
    """

    def __init__(self, name, zone, service='desk', slots=3, run_s=0.2):
        self.name = name
        self.zone = zone
        self.service = service
        self.slots = slots
        self.run_s = run_s
        self.arrivals = []
        self.runs = []
        self.running = 0
        self.born = int(time.time() * 1000)
        self.serve = self.run
        self._seq = 0
        self._writers = set()
        self._server = None

    async def open(self, ip='127.0.0.1'):
        self._server = await asyncio.start_server(self._serve, ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{ip}:{port}'

    def entry(self, **changes):
        self._seq += 1
        return {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': 'ready',
            'coldLeft': '0ms',
            'seq': self._seq,
            'born': self.born,
            **changes,
        }

    def close(self):
        """Ends as a process does: no listener, all connections closed."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def run(self, request):
        """Runs a request; returns status and body."""
        await asyncio.sleep(self.run_s)
        return '200 OK', f'{self.name} ran {request.id}'.encode()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while True:
                    request = await read_request(reader)
                    await self._answer(request, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, writer):
        seal = 'Lycheedyke-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n'
        expected = request.headers.get('lycheedyke-expect-instance')
        self.arrivals.append(request)
        if expected and expected != self.name:
            status, body, extra = '421 Misdirected Request', b'', ''
        elif self.running >= self.slots:
            status, body = '503 Service Unavailable', b''
            extra = 'Lycheedyke-Not-Run: 1\r\n'
        else:
            self.runs.append(request.id)
            self.running += 1
            try:
                status, body = await self.serve(request)
            finally:
                self.running -= 1
            extra = seal
        load = f'Lycheedyke-Server-Load: {self.running},0,{self.slots}\r\n'
        writer.write(
            f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n'
            f'Lycheedyke-Request-Id: {request.id}\r\n{extra}{load}\r\n'.encode()
            + body
        )
        await writer.drain()


class Machine:
    """One machine of the system, started as the deploy file says."""

    def __init__(self, at, zone, store, seeds):
        self.name = f'edge-{zone}-{at}'
        self.ip = f'127.77.{os.getpid() % 250 + 1}.{at + 10}'
        self.ports = {
            name: f'{self.ip}:{free_port(self.ip)}'
            for name in ('front', 'ready', 'control', 'directory')
        }
        self.zone = zone
        self.process = None
        self._kept = tempfile.TemporaryDirectory(prefix='review-')
        self._folder = Path(self._kept.name)
        self._store = store
        self._seeds = seeds or [self.ports['control']]

    def start(self):
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['entry']
        settings = self._folder / 'local.ini'
        template = (ROOT / role['template']).read_text()
        settings.write_text(render(template, self._fields()))
        log = (self._folder / 'log').open('ab')
        self.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env={
                'PATH': os.environ['PATH'],
                'HOME': str(self._folder),
                'LYCHEEDYKE_BOOT': str(settings),
                'PYTHONPATH': str(ROOT / 'target/deps'),
            },
        )

    def _fields(self):
        return {
            'nodeName': self.name,
            'region': ZONES[self.zone],
            'zone': self.zone,
            'ip': self.ip,
            'listen': self.ports,
            'seeds': self._seeds,
            'platform': {'addr': self._store},
            'limits': {'memoryMb': 222},
            'bounds': BOUNDS,
            'zones': ZONES,
        }

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def end(self):
        """Kills the process, and removes its temporary folder."""
        self.kill()
        self._kept.cleanup()

    async def wait_ready(self):
        host, _, port = self.ports['ready'].rpartition(':')
        for _ in range(300):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                if await self._ask_ready(host, int(port)) == 200:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f'{self.name} is not ready')

    async def _ask_ready(self, host, port):
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
            status, _, _ = await read_response(reader)
        finally:
            writer.close()
        return status


class CannotRun(Exception):
    """The case cannot run here."""


def render(template, fields):
    """Fills in a settings template as DEPLOY.md tells."""

    def find(path, scope):
        value = scope
        for name in path.split('.'):
            if name == '':
                continue
            if isinstance(value, dict) and name in value:
                value = value[name]
            else:
                return None
        return value

    def text(value):
        if value is None:
            return ''
        if isinstance(value, list):
            return ','.join(map(str, value))
        return str(value)

    def fill(part, scope):
        def section(match):
            value = find(match[1], scope)
            if value is None or value is False:
                return ''
            if isinstance(value, dict):
                return ''.join(
                    match[2].replace('{{@}}', key).replace('{{.}}', text(each))
                    for key, each in value.items()
                )
            return match[2].replace('{{.}}', text(value))

        part = re.sub(
            r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, part, flags=re.S
        )
        return re.sub(
            r'\{\{([\w.]+)\}\}', lambda m: text(find(m[1], scope)), part
        )

    return fill(template, fields)


def config(version, routes):
    """Returns a configuration; each route is a dict of its columns."""
    columns = [
        'name', 'host', 'prefix', 'type', 'timeout', 'goal', 'priority',
        'split', 'attempts', 'sticky', 'homeRegions', 'service',
    ]
    defaults = {
        'host': HOST,
        'priority': 1,
        'split': None,
        'attempts': 2,
        'sticky': True,
        'homeRegions': [],
    }
    rows = [[{**defaults, **row}.get(name) for name in columns] for row in routes]
    services = sorted({row['service'] for row in routes})
    return {
        'version': f'{version:08x}',
        'routes': {'columns': columns, 'rows': rows},
        'services': {
            'columns': [
                'name', 'healthPath', 'maxConns', 'protocol', 'tls', 'cold',
                'coldPerS',
            ],
            'rows': [
                [name, '/health', 780, 'h1', False, '3s', 7.1]
                for name in services
            ],
        },
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 67108864,
            'headerTimeout': '3000ms',
            'idleTimeout': '15000ms',
        },
    }


READ = {
    'name': 'stock-lookup',
    'prefix': '/stock/',
    'type': 'safe',
    'timeout': '1200ms',
    'goal': '250ms',
    'service': 'desk',
}
ORDER = {
    'name': 'order-place',
    'prefix': '/order/',
    'type': 'unsafe',
    'timeout': '1500ms',
    'goal': '300ms',
    'service': 'desk',
}


class Deployment:
    """A store, servers and machines; a context manager."""

    def __init__(self, servers, machines, routes=(READ, ORDER)):
        self.store = Store()
        self.servers = servers
        self._zones = machines
        self._routes = list(routes)
        self.machines = []

    async def __aenter__(self):
        try:
            await self._open()
        except BaseException:
            self.close()
            raise
        return self

    async def _open(self):
        await self.store.open()
        self.store.put('op/config', config(0x11, self._routes))
        for server in self.servers:
            await server.open()
            self.register(server)
        seeds = []
        for at, zone in enumerate(self._zones):
            machine = Machine(at, zone, self.store.address, seeds[:3])
            seeds.append(machine.ports['control'])
            self.machines.append(machine)
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await machine.wait_ready()
        # Traffic starts later than the machines.
        await asyncio.sleep(4)

    def register(self, server, **changes):
        self.store.put(f'servers/{server.name}', server.entry(**changes))

    async def __aexit__(self, *_):
        self.close()
        # Closed connections end in the next turns of the loop.
        await asyncio.sleep(0.3)

    def close(self):
        for machine in self.machines:
            machine.end()
        for server in self.servers:
            with contextlib.suppress(AttributeError):
                server.close()
        with contextlib.suppress(AttributeError):
            self.store.close()


class Client:
    """One client with one connection, which it uses as long as it may."""

    def __init__(self, machine, name):
        self._machine = machine
        self._name = name
        self._count = 0
        self._link = None

    async def send(self, method, target, key, deadline_ms, body=b''):
        """Sends one attempt; returns its id, and the answer or None."""
        self._count += 1
        request_id = f'{self._name}-{self._count:04d}'
        length = f'Content-Length: {len(body)}\r\n' if body else ''
        head = (
            f'{method} {target} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Lycheedyke-Request-Id: {request_id}\r\n'
            f'Cookie: Lycheedyke-Affinity-Key={key}\r\n'
            f'Lycheedyke-Deadline-Ms: {deadline_ms}\r\n{length}\r\n'
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._link is None:
                    host, _, port = self._machine.ports['front'].rpartition(':')
                    self._link = await asyncio.open_connection(host, int(port))
                reader, writer = self._link
                writer.write(head.encode() + body)
                answer = await read_response(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.close()
            return request_id, None
        if answer[1].get('connection', '').lower() == 'close':
            self.close()
        return request_id, answer

    def close(self):
        if self._link is not None:
            self._link[1].close()
            self._link = None


class Record:
    """The record of a run: what was sent, answered and run."""

    def __init__(self, path):
        self._file = Path(path).open('w', encoding='utf-8')
        self._begun = time.monotonic()

    def write(self, text):
        now = time.monotonic() - self._begun
        self._file.write(f'{now:8.3f} {text}\n')

    def close(self):
        self._file.close()


async def _run(case):
    """Runs a case; a signal ends it with all that it started."""
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await asyncio.wait_for(case, 110)


def main(case, folder):
    """Runs a case; returns 1 if the rule was broken, 0 if not, 2 if it failed.

    Args:
        case: a coroutine function of the record and of whether the disruption
            takes place; returns whether the rule was broken.
        folder: the folder of the case.
    """
    record = Record(Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    record.write(f'TROUBLE={int(has_trouble)}')
    try:
        is_broken = asyncio.run(_run(case(record, has_trouble)))
    except (Exception, asyncio.CancelledError) as error:
        record.write(f'cannot run: {error!r}')
        print(f'cannot run: {error!r}')
        return 2
    finally:
        record.close()
    return 1 if is_broken else 0
