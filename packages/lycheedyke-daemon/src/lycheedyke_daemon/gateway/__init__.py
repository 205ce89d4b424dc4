"""An entry instance that replicates a registry and calls upstreams itself."""

from lycheedyke_daemon.gateway._answer_headers import HeaderNames
from lycheedyke_daemon.gateway._decision_log import DecisionLog
from lycheedyke_daemon.gateway._deployment import Deployment
from lycheedyke_daemon.gateway._instance import GatewayInstance
from lycheedyke_daemon.gateway._lookup import LookupFormat
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
    'LookupFormat',
    'read_gateway_settings',
    'run',
)
