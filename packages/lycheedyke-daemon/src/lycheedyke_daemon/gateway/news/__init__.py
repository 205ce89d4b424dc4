"""From whom an instance hears news, and how configurations travel."""

from lycheedyke_daemon.gateway.news._configuration_exchange import (
    ConfigurationExchange,
)
from lycheedyke_daemon.gateway.news._notices import (
    complete_batch,
    resolve_notices,
    split_configurations,
)
from lycheedyke_daemon.gateway.news._sources import NewsSources

__all__ = (
    'ConfigurationExchange',
    'NewsSources',
    'complete_batch',
    'resolve_notices',
    'split_configurations',
)
