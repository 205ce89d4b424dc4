"""Builds, starts and stops one entry instance."""

import asyncio
import logging
import random
import secrets as random_secrets
from datetime import timedelta

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.coordination import (
    Members,
    OwnershipManager,
    TicketLog,
    ZoneState,
)
from lycheedyke.exceptions import PlatformError
from lycheedyke.protocol import InstanceInfo, MessageCodec
from lycheedyke.state import (
    Configuration,
    Counters,
    KeyStore,
    RegionBudgets,
    Suspects,
)
from lycheedyke.transport import BodyMemory, PeerListener
from lycheedyke_daemon.admin import AdminApi
from lycheedyke_daemon.bodies import BodyReader
from lycheedyke_daemon.callers import CallerApi
from lycheedyke_daemon.control import ControlApi
from lycheedyke_daemon.dispatch import Dispatcher
from lycheedyke_daemon.forward import PeerApi, PeerClient
from lycheedyke_daemon.handover import HandoverApi, KeyHomes
from lycheedyke_daemon.lookups import Lookups
from lycheedyke_daemon.metric_families import METRICS_PATH, MetricsApi
from lycheedyke_daemon.metrics import InstanceCollector
from lycheedyke_daemon.placement import Placement, RegionCheckedRunner
from lycheedyke_daemon.routing import Router
from lycheedyke_daemon.routing_table import RoutingTable
from lycheedyke_daemon.servers import HttpServers
from lycheedyke_daemon.settings import Secrets, Settings
from lycheedyke_daemon.stopping import RequestTracker, drain_callers
from lycheedyke_daemon.suspect_replication import (
    SuspectReplicator,
    SuspectReportApi,
)
from lycheedyke_daemon.suspects_api import SUSPECTS_PATH, SuspectsApi
from lycheedyke_daemon.tickets import TicketComponents, create_platform_client
from lycheedyke_daemon.upstream_runner import UpstreamRunner

INCARNATION_BYTES = 8
REFRESH_INTERVAL_SECONDS = 0.1
POLL_ALONE_SECONDS = 5
POLL_SECONDS = 120
MESSAGE_MARGIN_BYTES = 65_536
MILLISECOND = timedelta(milliseconds=1)
MAX_ADMIN_BYTES = 2_097_152

_logger = logging.getLogger(__name__)


class Instance:
    """One entry instance with all its components.

    Args:
        settings: the checked settings.
        secrets: the peer and admin secrets.
        clock: the clock of all components.
    """

    def __init__(
        self,
        settings: Settings,
        secrets: Secrets,
        clock: Clock,
    ) -> None:
        """Creates all components; `start` opens the ports."""
        self._settings = settings
        self._clock = clock
        self._applied_ticket = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._counters = Counters()
        self._servers = HttpServers(self._counters)
        self._codec = MessageCodec(secrets.peer)
        own = _make_instance_info(settings)
        self._members = Members(
            own,
            self._codec,
            clock,
            self._counters,
            routes=settings.routes,
        )
        self._log = TicketLog(self._apply_configuration, self._counters.count)
        self._platform = create_platform_client(settings, clock, self._counters)
        self._ownership = OwnershipManager(
            self._members,
            self._platform,
            clock,
            self._counters,
            routes=settings.routes,
        )
        self._ownership.describe_zone = self._describe_zone
        self._members.service_of = self._service_of
        self._tickets = TicketComponents(
            settings,
            self._log,
            self._platform,
            self._members,
            self._codec,
            clock,
            self._counters,
        )
        self._tracker = RequestTracker()
        self._budgets = RegionBudgets(
            own.region,
            settings.region_megabits_per_s,
            clock,
        )
        self._peers = PeerClient(
            self._codec,
            clock,
            self._counters,
            budgets=self._budgets,
            routes=settings.routes,
        )
        suspects = Suspects(clock)
        self._replicator = SuspectReplicator(
            suspects, self._members, self._peers
        )
        self._runner = UpstreamRunner(
            settings.zone,
            self._ownership.allowance,
            clock,
            self._counters,
            self._replicator.make_guard(self._counters),
        )
        self._members.loads = self._runner.loads
        self._table = RoutingTable(
            self._log,
            self._members,
            self._runner,
            clock,
        )
        self._placement = Placement(
            self._log,
            self._table,
            own.region,
            clock,
        )
        self._checked_runner = RegionCheckedRunner(
            self._placement, self._runner
        )
        memory = settings.key_memory_bytes
        life = settings.key_life
        self._homes = KeyHomes(
            KeyStore(
                own.incarnation,
                clock,
                max_bytes=memory,
                max_life=life,
            ),
            self._members,
            self._peers,
            clock,
            max_bytes=memory,
            max_life=life,
        )
        self._dispatcher = Dispatcher(
            Router(
                own,
                self._placement,
                self._table,
                self._checked_runner,
                self._peers,
                clock,
                self._counters,
            ),
            self._homes,
            self._members,
            self._peers,
            clock,
        )
        self._body_memory = BodyMemory(settings.body_memory_bytes)
        self._listener = PeerListener(
            settings.control_address,
            ControlApi(
                self._members,
                self._tickets.replication,
                self._codec,
                self._counters,
            ).answer,
        )
        self._admin = AdminApi(
            secrets.admin,
            self._tickets,
            self._members,
            self._runner,
            self._counters,
            table=self._table,
        )

    def __repr__(self) -> str:
        """Returns the class and the name of the instance."""
        return f'<Instance {self._settings.name}>'

    async def start(self) -> None:
        """Opens all ports, then makes the instance known to others."""
        await self._servers.open(self._peer_app(), self._settings.peer_address)
        await self._servers.open(
            self._admin_app(), self._settings.admin_address
        )
        await self._servers.open(
            self._caller_app(), self._settings.caller_address
        )
        self._listener.open()
        self._members.add_seeds(self._settings.seeds)
        self._tasks = [
            asyncio.create_task(self._tickets.follower.follow()),
            asyncio.create_task(self._tickets.replication.run()),
            asyncio.create_task(self._refresh_regularly()),
            asyncio.create_task(self._poll_instances()),
            asyncio.create_task(self._ownership.run()),
            asyncio.create_task(self._ownership.watch()),
        ]
        _logger.info('started', extra={'ticket': self._log.number})

    async def stop(self) -> None:
        """Leaves lookup answers, finishes requests in flight, then closes."""
        _logger.info('stopping')
        await self._members.announce_stop()
        services = self._log.configuration.services.values()
        answer_ttl = max((each.answer_ttl_ms for each in services), default=0)
        await drain_callers(
            self._tracker,
            answer_ttl * MILLISECOND + self._settings.stop_linger,
        )
        await self._end_runs()
        await self._servers.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._close_connections()
        _logger.info('stopped')

    async def _close_connections(self) -> None:
        # The control port stays open until this instance uses no upstream.
        await self._members.close()
        await self._ownership.close()
        await self._runner.close()
        await self._listener.close()
        for client in (self._peers, self._platform):
            await client.close()

    async def _end_runs(self) -> None:
        await self._dispatcher.hand_over()
        for runs in (self._dispatcher, self._peer_api, self._replicator):
            await runs.close()

    def _caller_app(self) -> web.Application:
        app = web.Application()
        lookups = Lookups(
            self._log,
            self._members,
            self._table,
            self._placement,
            self._clock,
        )
        api = CallerApi(
            self._dispatcher,
            lookups.find,
            self._log,
            self._members,
            self._body_reader(self._settings.max_body_bytes),
            self._clock,
            self._counters,
        )
        app.add_routes(api.routes(self._tracker.track))
        return app

    def _peer_app(self) -> web.Application:
        limit = self._settings.max_body_bytes + MESSAGE_MARGIN_BYTES
        app = web.Application()
        api = PeerApi(
            self._checked_runner.run,
            self._dispatcher.run_as_home,
            self._body_reader(limit),
            self._codec,
            self._clock,
            self._counters,
            budgets=self._budgets,
        )
        self._peer_api = api
        handover = HandoverApi(
            self._homes,
            self._body_reader(limit),
            self._codec,
            self._counters,
        )
        reports = SuspectReportApi(
            self._replicator,
            self._body_reader(limit),
            self._codec,
            self._counters,
        )
        app.add_routes(handover.routes())
        app.add_routes(reports.routes())
        app.add_routes(api.routes())
        return app

    def _body_reader(self, max_bytes: int) -> BodyReader:
        return BodyReader(self._body_memory, max_bytes)

    def _admin_app(self) -> web.Application:
        app = web.Application(client_max_size=MAX_ADMIN_BYTES)
        app.add_routes(self._admin.routes())
        metrics = MetricsApi(
            InstanceCollector(self._counters, self._members, self._runner),
        )
        suspects = SuspectsApi(self._replicator)
        require_token = self._admin.require_token
        app.add_routes(
            [
                web.get(METRICS_PATH, require_token(metrics.scrape)),
                web.get(SUSPECTS_PATH, require_token(suspects.show)),
                web.delete(SUSPECTS_PATH, require_token(suspects.clear)),
            ],
        )
        return app

    async def _poll_instances(self) -> None:
        while True:
            try:
                listed = await self._platform.instances()
            except PlatformError as error:
                _logger.debug('instance list not read: %s', error)
            else:
                self._members.add_seeds(listed.values())
            await asyncio.sleep(self._poll_delay())

    def _poll_delay(self) -> float:
        """Returns the seconds until the platform's instance list is read again.

        An instance with live peers reads the list less often, because its
        peers announce new instances.
        """
        is_alone = not self._members.live()
        max_delay = POLL_ALONE_SECONDS if is_alone else POLL_SECONDS
        return random.uniform(max_delay / 2, max_delay)

    def _service_of(self, name: str) -> str:
        upstream = self._log.configuration.upstreams.get(name)
        return upstream.service if upstream else ''

    async def _refresh_regularly(self) -> None:
        while True:
            self._apply_configuration(self._log.configuration)
            self._placement.shares.refresh()
            self._budgets.divide_among(self._region_senders())
            await asyncio.sleep(REFRESH_INTERVAL_SECONDS)

    def _region_senders(self) -> list[str]:
        own = self._members.own
        peers = [peer.info for peer in self._members.live()]
        return [
            info.name for info in (own, *peers) if info.region == own.region
        ]

    def _apply_configuration(self, configuration: Configuration) -> None:
        self._members.ticket = configuration.number
        if self._applied_ticket != configuration.number:
            self._applied_ticket = configuration.number
            self._placement.shares.apply(configuration)
        self._runner.refresh(configuration)

    def _describe_zone(self) -> ZoneState:
        own = self._members.own
        return ZoneState(
            own,
            self._members.in_zone(own.zone),
            self._runner.upstream_limits(),
            self._runner.in_flight,
        )


def _make_instance_info(settings: Settings) -> InstanceInfo:
    return InstanceInfo(
        name=settings.name,
        incarnation=random_secrets.token_hex(INCARNATION_BYTES),
        zone=settings.zone,
        region=settings.region,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        control_address=settings.control_address,
    )
