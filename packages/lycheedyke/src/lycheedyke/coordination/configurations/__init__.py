"""How configurations reach an instance."""

from lycheedyke.coordination.configurations._arrivals import (
    ConfigurationArrivals,
    Transfer,
)
from lycheedyke.coordination.configurations._awaited import (
    AwaitedConfigurations,
)
from lycheedyke.coordination.configurations._documents import (
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
