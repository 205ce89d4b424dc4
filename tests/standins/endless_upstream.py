"""Stand-in of an upstream that sends bytes without end.

Runs as a process of its own, so that it never waits for the code under test:
`python -m standins.endless_upstream PORT`. The last segment of the path
selects what it sends until the other side closes the connection; `/open`
returns the number of connections that are still being written to, and `/peak`
the most that were so at once. With `?at-once=N` the first bytes wait for N
connections, for `GATHER_SECONDS` at most.
"""

import contextlib
import os
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Iterator
from types import MappingProxyType
from typing import NamedTuple

from standins.deployment import TESTS, free_ports, wait_for_port

BATCH_BYTES = 65_536
GATHER_SECONDS = 1
HEAD = b'HTTP/1.1 200 OK\r\nLycheedyke-Request-Id: %s\r\n'
CHUNKED = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
CHUNK = b'400\r\n' + b'x' * 1024 + b'\r\n'
NO_CONTENT = b'HTTP/1.1 204 No Content\r\nLycheedyke-Request-Id: %s\r\n'
WHOLE = HEAD + b'Content-Length: 4\r\n\r\nmine'


class Flood(NamedTuple):
    """What follows a request: bytes once, then bytes without end."""

    start: bytes
    repeated: bytes
    pause_s: float = 0


FLOODS = MappingProxyType(
    {
        'no-line-end': Flood(b'', b'x'),
        'lines': Flood(b'', b'x\r\n'),
        'one-field': Flood(HEAD + b'A: ', b'x'),
        'fields': Flood(HEAD, b'A: b\r\n'),
        'large-fields': Flood(HEAD, b'A: ' + b'b' * 30_000 + b'\r\n'),
        'trailers': Flood(CHUNKED + b'0\r\n', b'A: b\r\n'),
        'chunk-extension': Flood(CHUNKED + b'5;', b'x'),
        'slow-head': Flood(HEAD + b'A: ', b'x', 0.001),
        'hints': Flood(b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
        'continues': Flood(b'', b'HTTP/1.1 100 Continue\r\n\r\n'),
        'large-hints': Flood(
            b'',
            b'HTTP/1.1 103 Early Hints\r\nLink: ' + b'l' * 20_000 + b'\r\n\r\n',
        ),
        'switch': Flood(
            b'HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n'
            b'Connection: upgrade\r\n\r\n',
            b'x',
        ),
        'open-body': Flood(HEAD + b'\r\n', b'x'),
        'chunks': Flood(CHUNKED, CHUNK),
        'small-chunks': Flood(CHUNKED, b'1\r\nx\r\n'),
        'surplus': Flood(WHOLE, b'x'),
        'surplus-answers': Flood(WHOLE, WHOLE),
        'no-content': Flood(NO_CONTENT + b'\r\n', b'x'),
        'no-content-length': Flood(
            NO_CONTENT + b'Content-Length: 1000\r\n\r\n', b'x'
        ),
        'no-content-chunks': Flood(
            NO_CONTENT + b'Transfer-Encoding: chunked\r\n\r\n', CHUNK
        ),
        'no-content-answers': Flood(NO_CONTENT + b'\r\n', WHOLE),
    },
)


# What any other path gets.
OTHERWISE = FLOODS['chunks']


class EndlessUpstream:
    """Serves each connection in a thread of its own."""

    def __init__(self, port: int) -> None:
        """Listens on a loopback port."""
        self._server = socket.create_server(('127.0.0.1', port), backlog=512)
        self._writing = 0
        self._peak = 0
        self._changed = threading.Condition()

    def serve(self) -> None:
        """Accepts connections until the process ends."""
        while True:
            connection, _ = self._server.accept()
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, contextlib.suppress(OSError):
            head = b''
            while b'\r\n\r\n' not in head:
                read = connection.recv(4096)
                if not read:
                    return
                head += read
            target = head.split(b' ', 2)[1].decode()
            if target in {'/open', '/peak'}:
                found = self._writing if target == '/open' else self._peak
                count = str(found).encode()
                connection.sendall(
                    b'HTTP/1.1 200 OK\r\nConnection: close\r\n'
                    b'Content-Length: %d\r\n\r\n%s' % (len(count), count)
                )
                return
            path, _, at_once = target.partition('?at-once=')
            with self._counted(int(at_once or 0)):
                flood = FLOODS.get(path.rpartition('/')[2], OTHERWISE)
                _flood(connection, flood, head)

    @contextlib.contextmanager
    def _counted(self, at_once: int) -> Iterator[None]:
        """Counts a connection, and waits for others to flood at once."""
        with self._changed:
            self._writing += 1
            self._peak = max(self._peak, self._writing)
            self._changed.notify_all()
            self._changed.wait_for(
                lambda: self._peak >= at_once, GATHER_SECONDS
            )
        try:
            yield
        finally:
            with self._changed:
                self._writing -= 1


def _flood(connection: socket.socket, flood: Flood, head: bytes) -> None:
    request = _read_request_id(head)
    connection.sendall(flood.start.replace(b'%s', request))
    for batch in _batches(flood, request):
        connection.sendall(batch)


def _read_request_id(head: bytes) -> bytes:
    _, _, rest = head.partition(b'Lycheedyke-Request-Id: ')
    return rest.split(b'\r\n', 1)[0]


def _batches(flood: Flood, request: bytes) -> Iterator[bytes]:
    repeated = flood.repeated.replace(b'%s', request)
    if flood.pause_s:
        while True:
            time.sleep(flood.pause_s)
            yield repeated
    batch = repeated * max(1, BATCH_BYTES // len(repeated))
    while True:
        yield batch


@contextlib.contextmanager
def serving_endless() -> Iterator[str]:
    """Runs the stand-in as a process; yields its `ip:port` address."""
    (port,) = free_ports(1)
    address = f'127.0.0.1:{port}'
    process = subprocess.Popen(
        [sys.executable, '-m', 'standins.endless_upstream', str(port)],
        env={**os.environ, 'PYTHONPATH': str(TESTS)},
    )
    try:
        wait_for_port(address)
        yield address
    finally:
        process.kill()
        process.wait()


if __name__ == '__main__':
    EndlessUpstream(int(sys.argv[1])).serve()
