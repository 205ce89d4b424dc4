"""Coordination: membership, the ticket log and ownership of upstreams."""

from lycheedyke.coordination._assignments import Planner, Zone
from lycheedyke.coordination._follower import TicketFollower
from lycheedyke.coordination._links import Heard
from lycheedyke.coordination._log_reader import LogReader, ticket_key
from lycheedyke.coordination._log_writer import LogWriter
from lycheedyke.coordination._membership import Members
from lycheedyke.coordination._owner_store import Owners
from lycheedyke.coordination._ownership import (
    Admitting,
    find_admitters,
    owner_of,
)
from lycheedyke.coordination._peers import Peer
from lycheedyke.coordination._presence import Presence
from lycheedyke.coordination._registry_follower import (
    FollowPauses,
    Peers,
    RegistryFollower,
)
from lycheedyke.coordination._replica import Replica
from lycheedyke.coordination._rights import Rights, Size, take_after
from lycheedyke.coordination._snapshotter import Snapshotter
from lycheedyke.coordination._spread import TicketSpread
from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.coordination._watchers import watchers_of

__all__ = (
    'Admitting',
    'Heard',
    'LogReader',
    'LogWriter',
    'Members',
    'Owners',
    'Peer',
    'FollowPauses',
    'Peers',
    'Planner',
    'Presence',
    'RegistryFollower',
    'Replica',
    'Rights',
    'Size',
    'Snapshotter',
    'TicketFollower',
    'TicketLog',
    'TicketSpread',
    'Zone',
    'find_admitters',
    'owner_of',
    'take_after',
    'ticket_key',
    'watchers_of',
)
