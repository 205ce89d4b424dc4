"""The HTTP applications of an entry instance, and its record."""

import secrets
from collections.abc import Iterable
from typing import Protocol

from aiohttp import web

from lycheedyke.protocol import EntryRecord
from lycheedyke_daemon.gateway._metrics import GatewayCollector
from lycheedyke_daemon.gateway._settings import GatewaySettings
from lycheedyke_daemon.metric_families import METRICS_PATH, MetricsApi

INCARNATION_BYTES = 8


class Api(Protocol):
    """A part of an instance that answers HTTP requests."""

    def routes(self) -> Iterable[web.RouteDef]:
        """Returns the routes that it answers."""


def make_app(*parts: Api) -> web.Application:
    """Returns an application with the routes of some parts."""
    app = web.Application()
    for part in parts:
        app.add_routes(part.routes())
    return app


def make_metrics_app(collector: GatewayCollector) -> web.Application:
    """Returns the application from which metrics are scraped."""
    app = web.Application()
    app.add_routes([web.get(METRICS_PATH, MetricsApi(collector).scrape)])
    return app


def describe_instance(settings: GatewaySettings) -> EntryRecord:
    """Returns the record that a starting instance announces."""
    return EntryRecord(
        name=settings.name,
        incarnation=secrets.token_hex(INCARNATION_BYTES),
        zone=settings.zone,
        region=settings.region,
        caller_address=settings.caller_address,
        peer_address=settings.peer_address,
        capacity=settings.cores * settings.cpu_share,
        link_mbps=settings.link_mbps,
    )
