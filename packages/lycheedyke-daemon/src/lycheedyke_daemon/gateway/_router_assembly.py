"""Puts the router of an instance together."""

import functools
from typing import NamedTuple

from lycheedyke.clock import Clock
from lycheedyke.state import (
    Distances,
    Location,
    PermitBook,
    PermitSources,
    RepeatLimit,
    RunTimeStats,
    UpstreamSelector,
    UpstreamTable,
    WarmupLimiter,
)
from lycheedyke_daemon.crashes import CrashGuard
from lycheedyke_daemon.gateway._decision_log import Telemetry
from lycheedyke_daemon.gateway._instance_status import InstanceStatus
from lycheedyke_daemon.gateway._registry_view import RegistryView
from lycheedyke_daemon.gateway._router import GatewayRouter
from lycheedyke_daemon.gateway._settings import GatewaySettings
from lycheedyke_daemon.gateway._upstream_client import UpstreamClient


class RouterParts(NamedTuple):
    """The parts of an instance that its router uses.

    Attributes:
        registry_view: the configuration in force.
        upstream_table: the upstreams.
        times: the run times of requests.
        permits: the permits to send to limited upstreams.
        client: sends work to upstreams.
        guard: runs suspects on their own.
        telemetry: counts repeats and logs each attempt.
    """

    registry_view: RegistryView
    upstream_table: UpstreamTable
    times: RunTimeStats
    permits: PermitBook
    client: UpstreamClient
    guard: CrashGuard
    telemetry: Telemetry


def make_router(
    settings: GatewaySettings,
    parts: RouterParts,
    status: InstanceStatus,
    clock: Clock,
) -> GatewayRouter:
    """Returns the router of an instance.

    Args:
        settings: the settings of the instance.
        parts: the parts of the instance.
        status: the status of the instance.
        clock: the clock of send permits.
    """
    selector = UpstreamSelector(
        parts.upstream_table,
        parts.times,
        Location(settings.zone, settings.region, settings.zones),
        Distances(
            settings.zone_trip,
            settings.region_trip,
            settings.zone_charge,
            settings.region_charge,
            settings.link_mbps,
        ),
        PermitSources(
            WarmupLimiter(settings.name, clock),
            parts.permits,
            settings.upstream_body_bytes,
        ),
        cold_rate=functools.partial(_cold_rate, parts.registry_view),
        instances=status.max_instances,
    )
    selector.set_max_homes(settings.max_homes)
    return GatewayRouter(
        selector,
        parts.times,
        parts.client,
        parts.guard,
        RepeatLimit(
            settings.repeat_ratio,
            settings.repeat_window,
            settings.repeat_extra,
        ),
        parts.telemetry,
        status,
    )


def _cold_rate(registry_view: RegistryView, service: str) -> float:
    """Returns the requests per second that a cold upstream can handle."""
    table = registry_view.table
    terms = table.services.get(service) if table else None
    return terms.cold_per_s if terms else 0
