"""What an entry instance exchanges with the others, besides the registry."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.protocol import EntryRecord
from lycheedyke.state import (
    Counters,
    PermitBook,
    Suspects,
    UpstreamTable,
)
from lycheedyke_daemon.background import BackgroundTasks
from lycheedyke_daemon.gateway._peer_updates import PeerUpdates
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway._settings import GatewaySettings
from lycheedyke_daemon.gateway._suspect_exchange import SuspectExchange
from lycheedyke_daemon.gateway.demand import DemandExchange
from lycheedyke_daemon.gateway.news import ConfigurationExchange
from lycheedyke_daemon.gateway.rates import LimitExchange, QuotaExchange


class SharedState(NamedTuple):
    """The state of an instance that its exchanges read and change.

    Attributes:
        registry_view: the configuration and the entry instances.
        upstream_table: the upstreams.
        permits: the permits to send to limited upstreams.
        suspects: the requests that are suspected of crashing upstreams.
        counters: counts messages.
    """

    registry_view: RegistryView
    upstream_table: UpstreamTable
    permits: PermitBook
    suspects: Suspects
    counters: Counters


class Exchanges:
    """The exchanges of one instance.

    Args:
        own: the record of the instance.
        settings: the settings of the instance.
        state: the state that they read and change.
        peers: sends messages to the other entry instances.
        clock: the time source.
        has_stop_begun: returns whether the instance is in a planned stop.

    Attributes:
        suspects: tells of requests that crash upstreams.
        limits: shares the limits of upstreams.
        demand: shares the demand of zones.
        quotas: shares the quotas of tenants.
        configurations: passes configurations on.
    """

    def __init__(
        self,
        own: EntryRecord,
        settings: GatewaySettings,
        state: SharedState,
        peers: PeerUpdates,
        clock: Clock,
        *,
        has_stop_begun: Callable[[], bool],
    ) -> None:
        """Creates the exchanges; `start` begins their tasks."""
        self._by_demand = settings.by_demand
        self.suspects = SuspectExchange(
            own, state.suspects, peers, state.counters, clock
        )
        self.limits = LimitExchange(
            own,
            state.upstream_table,
            state.permits,
            peers,
            settings.zones,
            state.counters,
            clock,
        )
        self.limits.max_instances = lambda: state.registry_view.max_instances
        self.demand = DemandExchange(
            own,
            state.registry_view.arrivals,
            peers,
            settings.zones,
            state.counters,
            clock,
        )
        self.quotas = QuotaExchange(
            own,
            state.registry_view,
            peers,
            settings.quota_bounds,
            state.counters,
            clock,
        )
        self.configurations = ConfigurationExchange(
            own,
            state.registry_view,
            peers.news_sources,
            state.counters,
        )
        self.quotas.issuers.is_leaving = has_stop_begun

    def __repr__(self) -> str:
        """Returns the exchange of limits."""
        return f'<Exchanges with {self.limits!r}>'

    def start(self, tasks: BackgroundTasks) -> None:
        """Starts the tasks of all exchanges."""
        tasks.start('suspects', self.suspects.resend)
        tasks.start('limits', self.limits.run)
        tasks.start('quotas', self.quotas.run)
        tasks.start('quota issuer', self.quotas.issuers.run)
        if self._by_demand:
            tasks.start('demand', self.demand.run)

    def routes(self) -> Iterator[web.RouteDef]:
        """Yields the routes of the peer port."""
        yield from self.configurations.routes()
        yield from self.suspects.routes()
        yield from self.limits.routes()
        yield from self.demand.routes()
        yield from self.quotas.routes()
