"""Receives the configurations that this instance knows to exist."""

import logging
import random
from collections.abc import Iterator
from datetime import timedelta
from typing import Protocol

from lycheedyke.clock import Clock
from lycheedyke.coordination._replica import Replica
from lycheedyke.coordination.configurations._arrivals import (
    REGISTRY,
    ConfigurationArrivals,
    Transfer,
)
from lycheedyke.coordination.configurations._documents import (
    ConfigurationDocuments,
)
from lycheedyke.coordination.configurations._inbound import (
    InboundTransfer,
    InboundTransfers,
)
from lycheedyke.exceptions import DocumentMalformed, PlatformError
from lycheedyke.protocol import (
    ConfigurationNotice,
    Registry,
)

# How long a configuration is awaited from peers before the registry is asked.
PATIENCE = timedelta(milliseconds=600)
# Between two calls to the registry, before and after doubling.
RETRY = timedelta(milliseconds=500)
MAX_RETRY = timedelta(seconds=4)
PAUSE = timedelta(milliseconds=60)

_logger = logging.getLogger(__name__)


class ConfigurationSources(Protocol):
    """The peers from which configurations are received.

    Attributes:
        transfers: the transfers that are under way.
    """

    transfers: InboundTransfers

    def ranked(self) -> list[str]:
        """Returns the addresses of peers in the order to ask them."""

    async def receive(self, peer: str, transfer: InboundTransfer) -> None:
        """Receives what is missing of a configuration, as far as it comes.

        Args:
            peer: the address of the peer.
            transfer: takes the bytes; it keeps those of earlier calls.
        """


class ConfigurationFetcher:
    """Receives awaited configurations from peers, or else the registry.

    Args:
        registry: the registry.
        replica: tells what is awaited, and gets it.
        documents: the contents that are known.
        sources: the peers.
        arrivals: remembers where configurations came from.
        clock: the time source.
    """

    def __init__(
        self,
        registry: Registry,
        replica: Replica,
        documents: ConfigurationDocuments,
        sources: ConfigurationSources,
        arrivals: ConfigurationArrivals,
        clock: Clock,
    ) -> None:
        """Initializes the fetcher."""
        self._registry = registry
        self._replica = replica
        self._documents = documents
        self._sources = sources
        self._arrivals = arrivals
        self._clock = clock
        self._retry_at = timedelta()
        self._retry = RETRY

    def __repr__(self) -> str:
        """Returns what is awaited."""
        return f'<ConfigurationFetcher: {self._replica.awaited!r}>'

    async def run(self) -> None:
        """Receives what is awaited, until cancelled."""
        while True:
            notice = await self._replica.awaited.wait()
            if self._replica.awaited.waited < PATIENCE:
                self._retry = RETRY
            transfer = self._sources.transfers.open(notice.digest)
            try:
                await self._fetch(notice, transfer)
            finally:
                self._sources.transfers.close(transfer)

    async def _fetch(
        self, notice: ConfigurationNotice, transfer: InboundTransfer
    ) -> None:
        """Asks one peer after another until the content has come.

        A newer configuration does not end a transfer of which a part has
        come: it goes on as long as bytes arrive, and the newer one is then a
        small difference to it.
        """
        is_arriving = False
        for peer in self._peers():
            if self._settle(notice, is_arriving=is_arriving):
                return
            if peer is not None:
                before = len(transfer.received)
                await self._ask(peer, notice, transfer)
                is_arriving = len(transfer.received) > before
            else:
                await self._read_registry()
                await self._clock.sleep(PAUSE * random.uniform(0.5, 1.5))

    def _peers(self) -> Iterator[str | None]:
        """Yields the peers to ask, round by round; None after each round."""
        while True:
            yield from (*self._sources.ranked(), None)

    def _settle(
        self, notice: ConfigurationNotice, *, is_arriving: bool
    ) -> bool:
        """Puts a configuration in force if its content is known.

        Returns:
            Whether the content need not be received any more.
        """
        document = self._documents.find(notice.digest)
        if document is not None:
            self._replica.take_configuration(notice, document.record)
            return True
        return notice not in self._replica.awaited.notices and not is_arriving

    async def _ask(
        self,
        peer: str,
        notice: ConfigurationNotice,
        transfer: InboundTransfer,
    ) -> None:
        asked = self._clock.elapsed()
        await self._sources.receive(peer, transfer)
        stream = transfer.stream
        if stream is None or not transfer.is_complete:
            return
        try:
            content = self._documents.decode(
                bytes(transfer.received), stream.base
            )
            self._documents.add(content, notice.digest)
        except DocumentMalformed as error:
            transfer.drop()
            _logger.warning(
                'configuration not understood',
                extra={'peer': peer, 'error': str(error)},
            )
            return
        took = self._clock.elapsed() - asked
        self._arrivals.receive(
            notice.revision, Transfer(peer, stream.length, took)
        )

    async def _read_registry(self) -> None:
        """Reads the newest configuration from the registry, if it is time."""
        now = self._clock.elapsed()
        if self._replica.awaited.waited < PATIENCE or now < self._retry_at:
            return
        self._retry_at = now + self._retry * random.uniform(0.5, 1.5)
        self._retry = min(2 * self._retry, MAX_RETRY)
        try:
            batch = await self._registry.read_configuration()
        except PlatformError as error:
            _logger.info('configuration not read', extra={'error': str(error)})
            return
        size, took = self._registry.last_answer
        for item in batch.items:
            self._arrivals.receive(
                item.revision, Transfer(REGISTRY, size, took)
            )
        self._replica.merge_some(batch)
