"""Coordination: membership, the ticket log and ownership of upstreams."""

from lycheedyke.coordination._follower import TicketFollower
from lycheedyke.coordination._log_reader import LogReader, ticket_key
from lycheedyke.coordination._log_writer import LogWriter
from lycheedyke.coordination._membership import Members
from lycheedyke.coordination._ownership import owner_of
from lycheedyke.coordination._peers import Peer
from lycheedyke.coordination._snapshotter import Snapshotter
from lycheedyke.coordination._spread import TicketSpread
from lycheedyke.coordination._ticket_log import TicketLog
from lycheedyke.coordination._watchers import watchers_of

__all__ = (
    'LogReader',
    'LogWriter',
    'Members',
    'Peer',
    'Snapshotter',
    'TicketFollower',
    'TicketLog',
    'TicketSpread',
    'owner_of',
    'ticket_key',
    'watchers_of',
)
