"""Replicates suspects among instances."""

from collections.abc import Sequence
from typing import TypeVar

import msgspec
from aiohttp import web

from lycheedyke.coordination import Members
from lycheedyke.exceptions import MessageRejected
from lycheedyke.protocol import MessageCodec
from lycheedyke.state import (
    Counters,
    Suspect,
    Suspects,
    TrialArbiter,
    TrialReply,
    TrialRequest,
)
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.forward import (
    HTTP_FORBIDDEN,
    SUSPECTS_PATH,
    PeerClient,
    SuspectsReport,
)
from lycheedyke_daemon.trials import TrialClient, rank_deciding

TRIALS_PATH = '/v1/trials'
_Message = TypeVar('_Message', bound=msgspec.Struct)


class SuspectReplicator:
    """Sends new suspects to live peers, which forward them to their peers.

    Args:
        suspects: the suspects that this instance knows.
        members: the live instances.
        peers: sends the reports.
    """

    def __init__(
        self,
        suspects: Suspects,
        members: Members,
        peers: PeerClient,
    ) -> None:
        """Initializes the replicator."""
        self._arbiter = TrialArbiter(suspects)
        self._suspects = suspects
        self._members = members
        self._peers = peers
        self._reports = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the class and the suspects."""
        return f'<SuspectReplicator of {self._suspects!r}>'

    def make_guard(self, counters: Counters) -> CrashGuard:
        """Returns a guard that asks peers for trials and reports to them."""
        trials = TrialClient(self._suspects, self._arbiter, self)
        return CrashGuard(self._suspects, self.report, counters, trials)

    def list(self) -> tuple[Suspect, ...]:
        """Returns all suspects."""
        return self._suspects.list()

    async def report(self) -> None:
        """Sends all suspects to all live peers."""
        await self._send(SuspectsReport(self._suspects.report()))

    async def clear(self, fingerprint: str | None) -> tuple[Suspect, ...]:
        """Clears one suspect or all, at this instance and at live peers.

        Args:
            fingerprint: the suspect to clear, or None for all.

        Returns:
            The suspects that were cleared at this instance.
        """
        cleared = tuple(
            suspect
            for suspect in self._suspects.list()
            if fingerprint in {None, suspect.fingerprint}
        )
        self._suspects.clear(suspect.fingerprint for suspect in cleared)
        await self._send(
            SuspectsReport(
                (),
                cleared=tuple(suspect.fingerprint for suspect in cleared),
            ),
        )
        return cleared

    def merge(self, report: SuspectsReport) -> None:
        """Merges the report of a peer; sends new information to live peers."""
        is_new = self._suspects.merge(report.suspects)
        if self._suspects.clear(report.cleared):
            self._reports.start(self._send(report))
        elif is_new:
            self._reports.start(self.report())

    def deciding(self, fingerprint: str) -> Sequence[str]:
        """Returns the instances that decide on a request's trials, by rank.

        They are given by their names, and this instance by ''.
        """
        names = [peer.info.name for peer in self._members.live()]
        own = self._members.own.name
        return [
            '' if name == own else name
            for name in rank_deciding(fingerprint, [own, *names])
        ]

    async def ask(self, peer: str, request: TrialRequest) -> TrialReply | None:
        """Asks a peer to decide on a trial; returns None if it doesn't."""
        for live in self._members.live():
            if live.info.name == peer:
                return await self._peers.ask(
                    live.info, TRIALS_PATH, request, TrialReply
                )
        return None

    def decide(self, request: TrialRequest) -> TrialReply:
        """Decides on a trial that a peer asks for."""
        return self._arbiter.decide(request)

    async def close(self) -> None:
        """Waits for all reports."""
        await self._reports.close()

    async def _send(self, report: SuspectsReport) -> None:
        peers = [peer.info for peer in self._members.live()]
        await self._peers.report(peers, report)


class SuspectReportApi:
    """Serves the suspect reports of peers, and decides on their trials.

    Args:
        replicator: merges the reports.
        bodies: reads the bodies of requests.
        codec: checks and decodes the reports.
        counters: counts rejected reports.
    """

    def __init__(
        self,
        replicator: SuspectReplicator,
        bodies: BodyReader,
        codec: MessageCodec,
        counters: Counters,
    ) -> None:
        """Initializes the API."""
        self._replicator = replicator
        self._bodies = bodies
        self._codec = codec
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<SuspectReportApi>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [
            web.post(SUSPECTS_PATH, self._receive),
            web.post(TRIALS_PATH, self._decide),
        ]

    async def _receive(self, request: web.Request) -> web.Response:
        report = await self._read(request, SuspectsReport)
        if report is None:
            return web.Response(status=HTTP_FORBIDDEN)
        self._replicator.merge(report)
        return web.Response()

    async def _decide(self, request: web.Request) -> web.Response:
        asked = await self._read(request, TrialRequest)
        if asked is None:
            return web.Response(status=HTTP_FORBIDDEN)
        reply = self._replicator.decide(asked)
        return web.Response(body=self._codec.encode(reply))

    async def _read(
        self, request: web.Request, kind: type[_Message]
    ) -> _Message | None:
        try:
            async with self._bodies.read(request) as body:
                return self._codec.decode(body, kind)
        except (BodyRefused, MessageRejected):
            self._counters.count('message.rejected')
            return None
