"""Coordination: membership, the ticket log and ownership of upstreams."""

from lycheedyke.coordination._evidence_publisher import EvidencePublisher
from lycheedyke.coordination._follow_intervals import FollowIntervals
from lycheedyke.coordination._log_reader import LogReader, ticket_key
from lycheedyke.coordination._log_writer import LogWriter
from lycheedyke.coordination._membership import Members
from lycheedyke.coordination._owner_ranking import (
    AdmittingInstance,
    find_admitting_instances,
    owner_of,
)
from lycheedyke.coordination._ownership_exchange import ReceivedMessage
from lycheedyke.coordination._ownership_manager import OwnershipManager
from lycheedyke.coordination._ownership_planner import (
    OwnershipPlanner,
    ZoneState,
)
from lycheedyke.coordination._peers import Peer
from lycheedyke.coordination._presence import Presence
from lycheedyke.coordination._quarantine_publisher import QuarantinePublisher
from lycheedyke.coordination._registry_follower import RegistryFollower
from lycheedyke.coordination._replica import Replica
from lycheedyke.coordination._slot_allowance import (
    SlotAllowance,
    UpstreamLimits,
    takeover_delay,
)
from lycheedyke.coordination._snapshotter import Snapshotter
from lycheedyke.coordination._ticket_follower import TicketFollower
from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.coordination._ticket_replication import TicketReplication
from lycheedyke.coordination._update_sources import UpdateSources
from lycheedyke.coordination._watchers import (
    first_by_link,
    rank_by_link,
    watchers_of,
)
from lycheedyke.coordination.configurations import (
    NO_BASE,
    AwaitedConfigurations,
    ConfigurationArrivals,
    ConfigurationDocuments,
    Encoding,
    InboundTransfer,
    InboundTransfers,
    Stream,
    Transfer,
    ancestors_of,
)
from lycheedyke.coordination.configurations._fetcher import (
    ConfigurationFetcher,
    ConfigurationSources,
)

__all__ = (
    'NO_BASE',
    'AdmittingInstance',
    'AwaitedConfigurations',
    'ConfigurationArrivals',
    'ConfigurationDocuments',
    'ConfigurationFetcher',
    'ConfigurationSources',
    'Encoding',
    'InboundTransfer',
    'InboundTransfers',
    'Stream',
    'Transfer',
    'ancestors_of',
    'first_by_link',
    'rank_by_link',
    'EvidencePublisher',
    'ReceivedMessage',
    'LogReader',
    'LogWriter',
    'Members',
    'OwnershipManager',
    'Peer',
    'FollowIntervals',
    'UpdateSources',
    'OwnershipPlanner',
    'Presence',
    'QuarantinePublisher',
    'RegistryFollower',
    'Replica',
    'SlotAllowance',
    'UpstreamLimits',
    'Snapshotter',
    'TicketFollower',
    'TicketLog',
    'TicketReplication',
    'ZoneState',
    'find_admitting_instances',
    'owner_of',
    'takeover_delay',
    'ticket_key',
    'watchers_of',
)
