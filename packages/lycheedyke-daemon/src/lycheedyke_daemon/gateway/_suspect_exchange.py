"""Exchanges suspects with peers, and decisions on their trials."""

import asyncio
import logging
import random
from collections.abc import Callable
from datetime import timedelta

import msgspec
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import (
    Counters,
    Suspect,
    Suspects,
    TrialArbiter,
    TrialReply,
    TrialRequest,
)
from lycheedyke_daemon.gateway._peer_updates import PeerUpdates
from lycheedyke_daemon.trials import rank_deciding

SUSPECTS_PATH = '/v1/suspects'
# Asks for all suspects. Earlier releases answer without any.
ALL = 'all'
LEARN_PATH = f'{SUSPECTS_PATH}?{ALL}=1'
PEERS_ASKED = 3
TRIALS_PATH = '/v1/trials'
# How often reports are sent again to peers that did not get them.
RESEND_INTERVAL = timedelta(milliseconds=500)

_logger = logging.getLogger(__name__)
_SUSPECTS = msgspec.msgpack.Decoder(tuple[Suspect, ...])
_REQUEST = msgspec.msgpack.Decoder(TrialRequest)
_REPLY = msgspec.msgpack.Decoder(TrialReply)


class SuspectExchange:
    """Tells peers of suspects until they know them, and asks for trials.

    Args:
        own: this instance.
        suspects: the requests suspected of crashing upstreams.
        peers: sends messages to the other entry instances.
        counters: counts messages that can't be read.
        clock: the time source.

    Attributes:
        arbiter: decides on the trials that peers ask for.
        on_crash: called when a crash was recorded, before peers are told.
    """

    def __init__(
        self,
        own: EntryRecord,
        suspects: Suspects,
        peers: PeerUpdates,
        counters: Counters,
        clock: Clock,
    ) -> None:
        """Initializes the exchange; no peer knows anything yet."""
        self.arbiter = TrialArbiter(suspects)
        self.on_crash: Callable[[], None] = _ignore_crash
        self._own = own
        self._suspects = suspects
        self._peers = peers
        self._counters = counters
        self._clock = clock
        # What each peer got of the suspects, by the incarnation of the peer.
        self._sent_revisions: dict[str, int] = {}

    def __repr__(self) -> str:
        """Returns the suspects."""
        return f'<SuspectExchange of {self._suspects!r}>'

    async def report(self) -> None:
        """Sends the suspects to all peers, unless they know them already.

        Peers answer with what they know of these suspects, which is then sent
        to all as well.
        """
        self.on_crash()
        revision = self._suspects.observed_revision
        while await self._send_missing(revision):
            revision = self._suspects.revision

    async def resend(self) -> None:
        """Sends the suspects to peers that did not get them, until cancelled.

        These may have been busy or cut off, or have started later. At the
        start, peers are asked for what they know.
        """
        has_learned = False
        while True:
            await self._clock.sleep(RESEND_INTERVAL)
            has_learned = has_learned or await self._learn()
            await self._send_missing(self._suspects.observed_revision)

    def deciding(self, fingerprint: str) -> list[str]:
        """Returns the instances that decide on a request's trials, by rank.

        They are given by their peer addresses, and this instance by ''.
        """
        addresses = {
            peer.name: peer.peer_address for peer in self._peers.peers()
        }
        addresses[self._own.name] = ''
        return [
            addresses[name] for name in rank_deciding(fingerprint, addresses)
        ]

    async def ask(self, peer: str, request: TrialRequest) -> TrialReply | None:
        """Asks a peer to decide on a trial; returns None if it doesn't."""
        body = await self._peers.send(
            peer, TRIALS_PATH, msgspec.msgpack.encode(request)
        )
        if not body:
            return None
        try:
            return _REPLY.decode(body)
        except msgspec.MsgspecError:
            self._counters.count('news.not-heard')
            return None

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(SUSPECTS_PATH, self._handle_suspects),
            web.post(TRIALS_PATH, self._handle_trial),
        ]

    async def _learn(self) -> bool:
        """Asks some peers for all that they know; returns whether one told.

        Without it, evidence would end with the instances that observed it,
        as those restart in turn.
        """
        peers = self._peers.peers()
        asked = random.sample(peers, min(PEERS_ASKED, len(peers)))
        nothing = msgspec.msgpack.encode(())
        answers = await asyncio.gather(
            *(
                self._peers.send(peer.peer_address, LEARN_PATH, nothing)
                for peer in asked
            )
        )
        told = [answer for answer in answers if answer is not None]
        for body in told:
            self._merge_answer(body)
        return bool(told)

    async def _handle_suspects(self, request: web.Request) -> web.Response:
        try:
            reported = _SUSPECTS.decode(await request.read())
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._suspects.merge(reported)
        if ALL in request.query:
            corrections = self._suspects.report()
        else:
            corrections = self._suspects.corrections(reported)
        if not corrections:
            return web.Response()
        return web.Response(body=msgspec.msgpack.encode(corrections))

    async def _handle_trial(self, request: web.Request) -> web.Response:
        try:
            asked = _REQUEST.decode(await request.read())
        except msgspec.MsgspecError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.Response(
            body=msgspec.msgpack.encode(self.arbiter.decide(asked))
        )

    async def _send_missing(self, revision: int) -> bool:
        """Sends the suspects to the peers that lack them.

        Args:
            revision: the revision that each peer is to know.

        Returns:
            Whether a peer answered with anything new.
        """
        peers = self._peers.peers()
        self._sent_revisions = {
            peer.incarnation: self._sent_revisions.get(peer.incarnation, 0)
            for peer in peers
        }
        missing = [
            peer
            for peer in peers
            if self._sent_revisions[peer.incarnation] < revision
        ]
        if not missing:
            return False
        # Most peers lack the same.
        revisions = {self._sent_revisions[peer.incarnation] for peer in missing}
        bodies = {after: self._encode_changes(after) for after in revisions}
        current = self._suspects.revision
        answers = await asyncio.gather(
            *(
                self._send_to(
                    peer,
                    bodies[self._sent_revisions[peer.incarnation]],
                    current,
                )
                for peer in missing
            )
        )
        lost = answers.count(None)
        _logger.info(
            'suspects reported', extra={'peers': len(missing), 'lost': lost}
        )
        # The list merges all answers, where a generator would stop at a new one.
        return any([self._merge_answer(answer or b'') for answer in answers])

    def _encode_changes(self, after: int) -> bytes:
        """Returns the report of all changes since a revision, or b''."""
        reported = self._suspects.report_changes(after)
        return msgspec.msgpack.encode(reported) if reported else b''

    async def _send_to(
        self, peer: EntryRecord, body: bytes, revision: int
    ) -> bytes | None:
        """Sends a peer a report; returns its answer, or None without one."""
        answer: bytes | None = b''
        if body:
            answer = await self._peers.send(
                peer.peer_address, SUSPECTS_PATH, body
            )
        if answer is not None and peer.incarnation in self._sent_revisions:
            self._sent_revisions[peer.incarnation] = max(
                revision, self._sent_revisions[peer.incarnation]
            )
        return answer

    def _merge_answer(self, body: bytes) -> bool:
        """Merges the answer of a peer; returns whether anything was new."""
        # Earlier versions answer without a body.
        if not body:
            return False
        try:
            return self._suspects.merge(_SUSPECTS.decode(body))
        except msgspec.MsgspecError:
            self._counters.count('news.not-heard')
            return False


def _ignore_crash() -> None:
    """Does nothing, as no registry keeps the evidence."""
