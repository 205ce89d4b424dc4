"""The objects of an instance that read, write and replicate tickets."""

from lycheedyke.clock import Clock
from lycheedyke.coordination import (
    LogReader,
    LogWriter,
    Members,
    Snapshotter,
    TicketFollower,
    TicketLog,
    TicketReplication,
    watchers_of,
)
from lycheedyke.protocol import MessageCodec, PlatformClient, RateLimiter
from lycheedyke.state import Counters
from lycheedyke_daemon.settings import Settings


def create_platform_client(
    settings: Settings,
    clock: Clock,
    counters: Counters,
) -> PlatformClient:
    """Returns a client of the platform, which limits its rate of calls."""
    return PlatformClient(
        settings.platform_address,
        timeout=settings.platform_timeout,
        budget=RateLimiter(
            clock,
            settings.platform_calls_per_s,
            settings.platform_burst,
        ),
        count=counters.count,
    )


class TicketComponents:
    """Connects the ticket log to the platform, to peers and to operators.

    Args:
        settings: the checked settings.
        log: the ticket log.
        platform: the platform's key-value service.
        members: the live instances.
        codec: signs and checks messages.
        clock: the clock of the components.
        counters: counts calls and refusals.
    """

    def __init__(
        self,
        settings: Settings,
        log: TicketLog,
        platform: PlatformClient,
        members: Members,
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Creates the components without reading any ticket."""
        reader = LogReader(log, platform)
        self.log = log
        self.writer = LogWriter(
            log,
            reader,
            platform,
            clock,
            settings.apply_timeout,
        )
        self.follower = TicketFollower(
            reader,
            Snapshotter(log, reader, platform, clock),
            clock,
            self.is_watcher,
            counters.count,
        )
        self.replication = TicketReplication(
            log,
            members.live,
            codec,
            clock,
            counters.count,
            routes=settings.routes,
        )
        self._members = members

    def __repr__(self) -> str:
        """Returns the class and the ticket log."""
        return f'<TicketComponents of {self.log!r}>'

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the platform now."""
        own = self._members.own
        return own in watchers_of(self._members.in_zone(own.zone))
