"""Replicates suspects among instances."""

from aiohttp import web

from lycheedyke.coordination import Members
from lycheedyke.exceptions import MessageRejected
from lycheedyke.protocol import MessageCodec
from lycheedyke.state import Counters, Suspect, Suspects
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.forward import (
    HTTP_FORBIDDEN,
    SUSPECTS_PATH,
    PeerClient,
    SuspectsReport,
)


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
        self._suspects = suspects
        self._members = members
        self._peers = peers
        self._reports = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the class and the suspects."""
        return f'<SuspectReplicator of {self._suspects!r}>'

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

    async def close(self) -> None:
        """Waits for all reports."""
        await self._reports.close()

    async def _send(self, report: SuspectsReport) -> None:
        peers = [peer.info for peer in self._members.live()]
        await self._peers.report(peers, report)


class SuspectReportApi:
    """Serves the suspect reports of peers.

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
        return [web.post(SUSPECTS_PATH, self._receive)]

    async def _receive(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                report = self._codec.decode(body, SuspectsReport)
        except (BodyRefused, MessageRejected):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        self._replicator.merge(report)
        return web.Response()
