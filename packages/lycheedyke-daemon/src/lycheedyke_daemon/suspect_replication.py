"""Spreads suspects among instances."""

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
    """Tells live peers what is new; they tell theirs.

    Args:
        suspects: the suspects of this instance.
        members: the live instances.
        peers: sends the reports.
    """

    def __init__(
        self,
        suspects: Suspects,
        members: Members,
        peers: PeerClient,
    ) -> None:
        """Makes a spread over the parts of one instance."""
        self._suspects = suspects
        self._members = members
        self._peers = peers
        self._reports = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the suspects."""
        return f'<SuspectSpread of {self._suspects!r}>'

    def list(self) -> tuple[Suspect, ...]:
        """Returns all suspects."""
        return self._suspects.list()

    async def report(self) -> None:
        """Tells all live peers of all suspects."""
        await self._tell(SuspectsReport(self._suspects.list()))

    async def clear(self, fingerprint: str | None) -> tuple[Suspect, ...]:
        """Clears one suspect, or all, here and at live peers.

        Returns:
            The suspects that were cleared here.
        """
        cleared = tuple(
            suspect
            for suspect in self._suspects.list()
            if fingerprint in {None, suspect.fingerprint}
        )
        self._suspects.clear(suspect.fingerprint for suspect in cleared)
        await self._tell(
            SuspectsReport(
                (),
                cleared=tuple(suspect.fingerprint for suspect in cleared),
            ),
        )
        return cleared

    def merge(self, report: SuspectsReport) -> None:
        """Takes in a peer's report; what is new here is told on."""
        is_new = self._suspects.merge(report.suspects)
        if self._suspects.clear(report.cleared):
            self._reports.start(self._tell(report))
        elif is_new:
            self._reports.start(self.report())

    async def close(self) -> None:
        """Waits for all reports."""
        await self._reports.close()

    async def _tell(self, report: SuspectsReport) -> None:
        peers = [peer.info for peer in self._members.live()]
        await self._peers.report(peers, report)


class SuspectReportApi:
    """Serves the reports of peers.

    Args:
        spread: takes them in.
        bodies: reads the messages.
        codec: checks them.
        counters: counts rejected reports.
    """

    def __init__(
        self,
        spread: SuspectReplicator,
        bodies: BodyReader,
        codec: MessageCodec,
        counters: Counters,
    ) -> None:
        """Makes the API over the parts of one instance."""
        self._spread = spread
        self._bodies = bodies
        self._codec = codec
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<SuspectReportApi>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [web.post(SUSPECTS_PATH, self._take)]

    async def _take(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                report = self._codec.decode(body, SuspectsReport)
        except (BodyRefused, MessageRejected):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        self._spread.merge(report)
        return web.Response()
