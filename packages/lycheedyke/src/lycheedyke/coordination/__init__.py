"""Coordination: membership, the ticket log and ownership of upstreams."""

from lycheedyke.coordination._assignments import Planner, Zone
from lycheedyke.coordination._membership import Heard, Members, Peer
from lycheedyke.coordination._owner_store import Owners
from lycheedyke.coordination._ownership import (
    Admitting,
    find_admitters,
    owner_of,
)
from lycheedyke.coordination._rights import Rights, Size, take_after
from lycheedyke.coordination._ticket_log import TicketFollower, TicketLog

__all__ = (
    'Admitting',
    'Heard',
    'Members',
    'Owners',
    'Peer',
    'Planner',
    'Rights',
    'Size',
    'TicketFollower',
    'TicketLog',
    'Zone',
    'find_admitters',
    'owner_of',
    'take_after',
)
