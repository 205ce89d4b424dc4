"""How configurations reach an instance."""

from lycheedyke.coordination.configurations._arrivals import (
    REGISTRY,
    ConfigurationArrivals,
    Transfer,
)
from lycheedyke.coordination.configurations._awaited import (
    AwaitedConfigurations,
)
from lycheedyke.coordination.configurations._documents import (
    NO_BASE,
    ConfigurationDocument,
    ConfigurationDocuments,
    Encoding,
)
from lycheedyke.coordination.configurations._inbound import (
    InboundTransfer,
    InboundTransfers,
    Stream,
)
from lycheedyke.coordination.configurations._spread_tree import ancestors_of

__all__ = (
    'NO_BASE',
    'REGISTRY',
    'AwaitedConfigurations',
    'ConfigurationArrivals',
    'ConfigurationDocument',
    'ConfigurationDocuments',
    'Encoding',
    'InboundTransfer',
    'InboundTransfers',
    'Stream',
    'Transfer',
    'ancestors_of',
)
