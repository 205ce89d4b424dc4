"""An entry instance that replicates a registry: assembly, start and stop."""

import asyncio
import logging
from datetime import timedelta

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.coordination import (
    ConfigurationFetcher,
    EvidencePublisher,
    Presence,
    QuarantinePublisher,
    RegistryFollower,
    Replica,
)
from lycheedyke.protocol import Position
from lycheedyke.state import (
    Counters,
    PermitBook,
    RunTimeStats,
    Suspects,
    UpstreamTable,
)
from lycheedyke.timers import PauseMonitor
from lycheedyke.transport import BodyMemory
from lycheedyke_daemon.background import BackgroundTasks
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.gateway._apps import (
    describe_instance,
    make_app,
    make_metrics_app,
)
from lycheedyke_daemon.gateway._caller_api import GatewayCallerApi
from lycheedyke_daemon.gateway._decision_log import DecisionLog, Telemetry
from lycheedyke_daemon.gateway._deployment import Deployment
from lycheedyke_daemon.gateway._exchanges import Exchanges, SharedState
from lycheedyke_daemon.gateway._instance_status import InstanceStatus
from lycheedyke_daemon.gateway._lookup import LookupApi, LookupDirectory
from lycheedyke_daemon.gateway._lost_upstreams import LostUpstreams
from lycheedyke_daemon.gateway._metrics import GatewayCollector
from lycheedyke_daemon.gateway._peer_updates import PeerUpdates
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway._router_assembly import (
    RouterParts,
    make_router,
)
from lycheedyke_daemon.gateway._settings import GatewaySettings
from lycheedyke_daemon.gateway._settings_file import SettingsFile
from lycheedyke_daemon.gateway._stop_schedule import StopSchedule
from lycheedyke_daemon.gateway._upstream_client import UpstreamClient
from lycheedyke_daemon.gateway.bodies import ResponseStreams
from lycheedyke_daemon.gateway.demand import DemandSteering
from lycheedyke_daemon.gateway.rates import QuotaGate, collect_quotas
from lycheedyke_daemon.idle_connections import IdleConnectionCloser
from lycheedyke_daemon.servers import Connections, HttpServers
from lycheedyke_daemon.stopping import RequestTracker
from lycheedyke_daemon.trials import TrialClient

READY_PATH = '/ready'
# Requests in flight have ended; a refused caller may still be sending a body.
CLOSE_LIMIT = timedelta(milliseconds=100)
_RELOADABLE = frozenset(('stop_grace', 'log_level'))

_logger = logging.getLogger(__name__)


class GatewayInstance:
    """One entry instance.

    Args:
        settings: the checked settings.
        deployment: the registry and the wire formats.
        clock: the time source.
    """

    def __init__(
        self, settings: GatewaySettings, deployment: Deployment, clock: Clock
    ) -> None:
        """Creates all parts without opening a port."""
        self._settings = settings
        self._deployment = deployment
        self._clock = clock
        self._tasks = BackgroundTasks()
        self._settings_file: SettingsFile | None = None
        self._counters = Counters()
        self._servers = HttpServers(self._counters, CLOSE_LIMIT)
        self._tracker = RequestTracker(refuses_behind=True)
        self._schedule = StopSchedule(clock, lambda: self._settings.stop_grace)
        self._idle = IdleConnectionCloser(
            lambda: self._registry_view.idle_limit, self._counters
        )
        self._list_callers: Connections = list
        self._is_listening = False
        self._upstream_table = UpstreamTable(clock)
        self._times = RunTimeStats()
        self._permits = PermitBook(clock, self._counters)
        suspects = Suspects(clock)
        self._registry_view = RegistryView(
            self._upstream_table, suspects, self._counters, clock
        )
        own = describe_instance(settings)
        self._own = own
        self._replica = Replica(
            clock,
            settings.reappearance,
            self._registry_view.apply,
            self._handle_restore,
        )
        self._peer_updates = PeerUpdates(
            own,
            self._registry_view,
            settings.seeds,
            self._replica,
            self._counters,
            clock,
        )
        self._exchanges = Exchanges(
            own,
            settings,
            SharedState(
                self._registry_view,
                self._upstream_table,
                self._permits,
                suspects,
                self._counters,
            ),
            self._peer_updates,
            clock,
            has_stop_begun=lambda: self._schedule.has_begun,
        )
        self._pauses = PauseMonitor()
        self._follower = RegistryFollower(
            deployment.registry,
            self._replica,
            self._peer_updates,
            clock,
            longest_pause=self._pauses.longest,
            paused_within=self._pauses.within,
        )
        self._registry_view.configuration_arrivals = self._follower.arrivals
        self._peer_updates.arrivals = self._follower.arrivals
        self._peer_updates.age = lambda: self._follower.age
        self._peer_updates.silence = lambda: self._follower.silence
        self._peer_updates.news_sources.longest_pause = self._pauses.longest
        self._fetcher = ConfigurationFetcher(
            deployment.registry,
            self._replica,
            self._registry_view.documents,
            self._exchanges.configurations,
            self._follower.arrivals,
            clock,
        )
        self._presence = Presence(deployment.registry, own, clock)
        self._quarantines = QuarantinePublisher(
            deployment.registry, suspects, clock
        )
        self._evidence = EvidencePublisher(
            deployment.registry, self._registry_view.evidence, clock
        )
        self._exchanges.suspects.on_crash = self._evidence.wake
        self._lost_upstreams = LostUpstreams(
            self._upstream_table, self._registry_view, self._counters, clock
        )
        self._registry_view.on_entry_removed = self._handle_entry_removed
        self._telemetry = self._make_telemetry()
        self._client = UpstreamClient(
            deployment.headers,
            self._upstream_table,
            self._permits,
            self._telemetry,
            BodyMemory(settings.answer_memory_bytes),
        )
        self._guard = CrashGuard(
            suspects,
            self._exchanges.suspects.report,
            self._counters,
            TrialClient(
                suspects,
                self._exchanges.suspects.arbiter,
                self._exchanges.suspects,
            ),
        )

    @property
    def ready(self) -> bool:
        """Whether look-ups may direct callers to this instance."""
        has_table = self._registry_view.number > 0
        is_open = self._is_listening and not self._schedule.has_begun
        return has_table and is_open

    def __repr__(self) -> str:
        """Returns the instance's name."""
        return f'<GatewayInstance {self._settings.name}>'

    async def start(self) -> None:
        """Starts all tasks and listens on all ports."""
        settings = self._settings
        for name, work in (
            ('pauses', self._pauses.run),
            ('registry', self._follower.follow),
            ('peers', self._follower.follow_peers),
            ('configurations', self._fetcher.run),
            ('quarantines', self._quarantines.run),
            ('evidence', self._evidence.run),
            ('lost upstreams', self._lost_upstreams.run),
        ):
            self._tasks.start(name, work)
        self._exchanges.start(self._tasks)
        file = self._settings_file
        if file is not None:
            self._tasks.start(
                'settings', lambda: file.watch(self._apply, self._clock)
            )
        await self._servers.open(self._peer_app(), settings.peer_address)
        await self._servers.open(self._ready_app(), settings.ready_address)
        self._list_callers = await self._servers.open(
            self._caller_app(), settings.caller_address
        )
        self._is_listening = True
        self._tasks.start('idle', lambda: self._idle.run(self._list_callers))
        self._tasks.start('presence', self._announce)
        await self._servers.open(self._lookup_app(), settings.lookup_address)
        await self._open_metrics()
        _logger.info('started', extra={'settings': settings._asdict()})

    def watch_settings(self, settings_file: SettingsFile) -> None:
        """Sets the settings file, whose changes are applied after the start."""
        self._settings_file = settings_file

    async def wait_ready(self) -> None:
        """Waits until a configuration is in force."""
        await self._registry_view.in_force.wait()

    async def stop(self) -> None:
        """Leaves the look-ups, finishes requests in flight, then closes."""
        self._schedule.begin()
        self._tracker.stopping = True
        _logger.info('stopping', extra={'in_flight': self._tracker.in_flight})
        await self._leave()
        await self._finish_requests()
        _logger.info('stopped', extra={'in_flight': self._tracker.in_flight})
        await self._tasks.end()
        await self._refuse_late()
        await self._servers.close()
        await self._client.close()
        await asyncio.gather(
            self._peer_updates.close(),
            self._exchanges.configurations.close(),
            self._deployment.registry.close(),
        )

    async def _leave(self) -> None:
        """Leaves the look-ups; no failure may keep requests from their end."""
        results = await asyncio.gather(
            self._peer_updates.announce_leaving(),
            self._presence.withdraw(),
            return_exceptions=True,
        )
        for error in results:
            if error is not None:
                _logger.error('not left', extra={'error': repr(error)})

    async def _finish_requests(self) -> None:
        """Waits for the requests in flight, then answers those that remain."""
        await self._schedule.drain(self._is_busy)
        self._tracker.interrupt()
        await self._schedule.flush(self._is_busy)

    async def _refuse_late(self) -> None:
        """Refuses requests that are on their way, and accepts no caller."""
        await self._servers.stop_listening(self._settings.caller_address)
        await self._schedule.refuse_late()

    async def _open_metrics(self) -> None:
        """Serves metrics; without them the instance still serves callers."""
        address = self._settings.metrics_address
        collector = GatewayCollector(
            self._counters,
            self._registry_view,
            self._upstream_table,
            self._permits,
            self._follower,
            self._tracker,
        )
        quotas = self._exchanges.quotas
        collector.collect_quotas = lambda: collect_quotas(quotas)
        try:
            await self._servers.open(make_metrics_app(collector), address)
        except OSError as error:
            _logger.error(
                'metrics not served',
                extra={'address': address, 'error': str(error)},
            )

    def _is_busy(self) -> bool:
        """Whether requests are in flight or answers are still being sent."""
        return self._tracker.in_flight > 0 or any(
            connection.transport.get_write_buffer_size()
            for connection in self._list_callers()
            if connection.transport is not None
        )

    def _apply(
        self, settings: GatewaySettings, changed: frozenset[str]
    ) -> None:
        """Applies the reloadable settings; others need a restart."""
        self._settings = settings._replace(
            **{
                name: getattr(self._settings, name)
                for name in changed - _RELOADABLE
            },
        )
        logging.getLogger().setLevel(settings.log_level.upper())
        if changed - _RELOADABLE:
            _logger.warning(
                'settings take effect at the next start',
                extra={'names': sorted(changed - _RELOADABLE)},
            )

    async def _announce(self) -> None:
        await self._registry_view.in_force.wait()
        await self._presence.keep_announced()

    def _handle_entry_removed(self, name: str) -> None:
        if name == self._own.name:
            self._presence.mark_removed()

    def _handle_restore(self, position: Position) -> None:
        self._counters.count('registry.restored')
        self._presence.mark_restored(position.generation)
        self._registry_view.evidence.doubt_records()
        self._evidence.wake()

    def _caller_app(self) -> web.Application:
        self._registry_view.on_routes_changed = self._times.retain
        router = make_router(
            self._settings,
            RouterParts(
                self._registry_view,
                self._upstream_table,
                self._times,
                self._permits,
                self._client,
                self._guard,
                self._telemetry,
            ),
            InstanceStatus(
                self._max_instances,
                lambda: self._schedule.has_begun,
                self._schedule.may_take,
                self._pauses.within,
                lambda: self._follower.age,
                self._exchanges.limits.wait_answer,
                self._exchanges.quotas.tenant_use,
            ),
            self._clock,
        )
        api = GatewayCallerApi(
            self._registry_view,
            router,
            self._deployment.headers,
            BodyMemory(self._settings.body_memory_bytes),
            ResponseStreams(
                self._client.memory, self._tracker, self._telemetry
            ),
            self._telemetry,
            schedule=self._schedule,
        )
        api.run_within_quota = QuotaGate(self._exchanges.quotas).run
        api.allocates_slots = self._settings.allocates_slots
        app = web.Application(middlewares=[self._client.hold_answers])
        app.add_routes(api.routes())
        return app

    def _make_telemetry(self) -> Telemetry:
        decision_log = DecisionLog(
            self._clock,
            self._counters,
            sampled_of=self._settings.log_sampled_of,
            lines_per_s=self._settings.log_lines_per_s,
        )
        return Telemetry(
            self._clock, self._counters, decision_log, self._settings.name
        )

    def _max_instances(self) -> int:
        return self._registry_view.max_instances

    def _peer_app(self) -> web.Application:
        return make_app(self._peer_updates, self._exchanges)

    def _lookup_app(self) -> web.Application:
        directory = LookupDirectory(
            self._own,
            self._registry_view,
            self._upstream_table,
            self._times,
            self._settings.zones,
            self._settings.shift_most,
            self._clock,
        )
        if self._settings.by_demand:
            directory.steering = DemandSteering(
                self._exchanges.demand.totals, self._times, self._clock
            )
        return make_app(
            LookupApi(
                self._deployment.lookups,
                directory,
                self._settings.answer_life,
                self._counters,
            )
        )

    def _ready_app(self) -> web.Application:
        app = web.Application()
        app.add_routes([web.get(READY_PATH, self._show_ready)])
        return app

    async def _show_ready(self, request: web.Request) -> web.Response:
        status, text = (200, 'ready') if self.ready else (503, 'not ready')
        return web.Response(status=status, text=text)
