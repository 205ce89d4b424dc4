"""Coordination: membership, the ticket log and ownership of upstreams."""

from lycheedyke.coordination._membership import Members
from lycheedyke.coordination._ownership import owner_of
from lycheedyke.coordination._peers import Peer
from lycheedyke.coordination._ticket_log import TicketFollower, TicketLog

__all__ = ('Members', 'Peer', 'TicketFollower', 'TicketLog', 'owner_of')
