"""An entry instance that follows a registry and sends to upstreams itself."""

from lycheedyke_daemon.gateway._decisions import DecisionLog
from lycheedyke_daemon.gateway._directory import LookupForm
from lycheedyke_daemon.gateway._exchange import HeaderNames
from lycheedyke_daemon.gateway._instance import Deployment, GatewayInstance
from lycheedyke_daemon.gateway._main import run
from lycheedyke_daemon.gateway._settings import (
    GatewaySettings,
    read_gateway_settings,
)

__all__ = (
    'DecisionLog',
    'Deployment',
    'GatewayInstance',
    'GatewaySettings',
    'HeaderNames',
    'LookupForm',
    'read_gateway_settings',
    'run',
)
