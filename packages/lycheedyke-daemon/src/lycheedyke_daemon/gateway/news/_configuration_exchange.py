"""Sends configurations to peers and receives them, each as a stream."""

import asyncio
import random
from collections.abc import Callable
from datetime import timedelta
from urllib.parse import urlencode

import multidict
from aiohttp import web

from lycheedyke.coordination import (
    NO_BASE,
    ConfigurationDocuments,
    Encoding,
    InboundTransfer,
    InboundTransfers,
    Stream,
)
from lycheedyke.exceptions import TransportError
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import Counters
from lycheedyke.transport import BodySink, ExchangeChecks, HttpClient
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway.news._sources import NewsSources

CONFIGURATIONS_PATH = '/v1/configurations/{digest}'
BASE_HEADER = 'Configuration-Base'
STREAM_HEADER = 'Configuration-Stream'
LENGTH_HEADER = 'Configuration-Length'
OFFSET_HEADER = 'Configuration-Offset'
# How long a peer may send nothing.
PATIENCE = timedelta(milliseconds=600)
LONGEST_TRANSFER = timedelta(seconds=10)
# How long an instance waits for a content that it is asked for and lacks;
# well below the patience of the one that asks.
HOLD = timedelta(milliseconds=300)
HOLD_POLL = timedelta(milliseconds=20)
# Peers that are asked beside the ancestors, in each round.
OTHERS_ASKED = 2
# The contents that a request names as known.
MAX_NAMED = 4
MAX_STREAM_BYTES = 8_388_608
HTTP_OK = 200


class ConfigurationExchange:
    """Serves known configurations, and receives unknown ones from peers.

    A configuration that is being received is passed on while it arrives.

    Args:
        own: this instance.
        registry_view: provides the entry instances and the known contents.
        news_sources: tells whom to ask first.
        counters: counts transfers.

    Attributes:
        transfers: the configurations that are being received.
    """

    def __init__(
        self,
        own: EntryRecord,
        registry_view: RegistryView,
        news_sources: NewsSources,
        counters: Counters,
    ) -> None:
        """Initializes the client without opening a connection."""
        self.transfers = InboundTransfers()
        self._own = own
        self._registry_view = registry_view
        self._news_sources = news_sources
        self._counters = counters
        self._http = HttpClient(max_body_bytes=MAX_STREAM_BYTES)

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<ConfigurationExchange of {self._own.name}>'

    async def close(self) -> None:
        """Closes the connections."""
        await self._http.close()

    def ranked(self) -> list[str]:
        """Returns the addresses of peers in the order to ask them."""
        ancestors = self._news_sources.ancestors()
        first = [each.peer_address for each in ancestors]
        teller = self._news_sources.teller
        if teller and teller not in first:
            first.append(teller)
        others = [
            each.peer_address
            for each in self._registry_view.active_entries()
            if each.name != self._own.name and each.peer_address not in first
        ]
        asked = random.sample(others, min(OTHERS_ASKED, len(others)))
        return [*first, *asked]

    async def receive(self, peer: str, transfer: InboundTransfer) -> None:
        """Receives what is missing of a configuration, as far as it comes."""
        known = self._documents.digests[:MAX_NAMED]
        query = {
            'known': ','.join(each.hex() for each in known),
            'after': len(transfer.received),
            'stream': transfer.stream.digest.hex() if transfer.stream else '',
        }
        path = CONFIGURATIONS_PATH.format(digest=transfer.wanted.hex())
        try:
            answer = await self._http.send(
                'GET',
                f'http://{peer}{path}?{urlencode(query)}',
                timeout=PATIENCE,
                checks=ExchangeChecks(
                    accept=_Receiver(transfer).accept,
                    longest=LONGEST_TRANSFER,
                ),
            )
        except (TransportError, ValueError):
            self._counters.count('configuration.cut')
            return
        is_received = answer.status == HTTP_OK
        self._counters.count(
            'configuration.received'
            if is_received
            else 'configuration.not-there'
        )

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [web.get(CONFIGURATIONS_PATH, self._answer)]

    @property
    def _documents(self) -> ConfigurationDocuments:
        return self._registry_view.documents

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        try:
            wanted = bytes.fromhex(request.match_info['digest'])
            known = _to_digests(request.query.get('known', ''))
            after = int(request.query.get('after', '0'))
        except ValueError:
            raise web.HTTPBadRequest(
                text='malformed digest or offset'
            ) from None
        for _ in range(HOLD // HOLD_POLL):
            if self._documents.find(wanted) is not None:
                encoding = self._documents.encode(wanted, known)
                return _to_response(encoding, request, after)
            transfer = self.transfers.find(wanted)
            stream = transfer.stream if transfer is not None else None
            if transfer and stream and stream.base in {NO_BASE, *known}:
                return await _pass_on(transfer, stream, request, after)
            await asyncio.sleep(HOLD_POLL.total_seconds())
        raise web.HTTPNotFound(text='no such configuration')


class _Receiver:
    """Writes the body of a response to a transfer while it arrives."""

    def __init__(self, transfer: InboundTransfer) -> None:
        self._transfer = transfer

    def accept(
        self, status: int, headers: multidict.CIMultiDictProxy[str]
    ) -> BodySink | None:
        """Begins or continues the transfer at the head of a response."""
        if status != HTTP_OK:
            return None
        stream = Stream(
            bytes.fromhex(headers.get(BASE_HEADER, '')),
            bytes.fromhex(headers.get(STREAM_HEADER, '')),
            int(headers.get(LENGTH_HEADER, '0')),
        )
        offset = int(headers.get(OFFSET_HEADER, '0'))
        return self if self._transfer.begin(stream, offset) else None

    def begin(self, break_off: Callable[[], None]) -> None:
        """Begins to take the body."""

    async def write(self, chunk: bytes) -> None:
        """Takes received bytes."""
        self._transfer.write(chunk)

    def end(self) -> None:
        """Notes that all bytes were received."""

    def fail(self) -> None:
        """Keeps what was received; another peer may send the rest."""


def _to_response(
    encoding: Encoding, request: web.Request, after: int
) -> web.Response:
    """Returns the rest of a known configuration."""
    encoded = encoding.encoded
    stream = Stream(encoding.base, encoding.stream, len(encoded))
    offset = _offset_in(stream, request, after)
    return web.Response(
        body=encoded[offset:], headers=_to_headers(stream, offset)
    )


async def _pass_on(
    transfer: InboundTransfer,
    stream: Stream,
    request: web.Request,
    after: int,
) -> web.StreamResponse:
    """Sends a configuration while it arrives."""
    sent = _offset_in(stream, request, after)
    response = web.StreamResponse(headers=_to_headers(stream, sent))
    response.content_length = stream.length - sent
    await response.prepare(request)
    while sent < stream.length:
        chunk = bytes(transfer.received[sent:])
        if transfer.stream != stream or (transfer.is_ended and not chunk):
            _close(request)
            break
        if chunk:
            await response.write(chunk)
            sent += len(chunk)
        else:
            await transfer.wait_change()
    return response


def _close(request: web.Request) -> None:
    """Ends a response early, so that its receiver asks another peer."""
    if request.transport is not None:
        request.transport.close()


def _offset_in(stream: Stream, request: web.Request, after: int) -> int:
    """Returns from where on a receiver lacks a stream."""
    is_same = request.query.get('stream') == stream.digest.hex()
    return after if is_same and 0 <= after <= stream.length else 0


def _to_headers(stream: Stream, offset: int) -> dict[str, str]:
    return {
        BASE_HEADER: stream.base.hex(),
        STREAM_HEADER: stream.digest.hex(),
        LENGTH_HEADER: str(stream.length),
        OFFSET_HEADER: str(offset),
    }


def _to_digests(text: str) -> frozenset[bytes]:
    return frozenset(bytes.fromhex(each) for each in text.split(',') if each)
