"""State: configuration, admission, key records and counters."""

from lycheedyke.state._admission import AdmissionRefused, Admitter
from lycheedyke.state._blocks import BlockMap
from lycheedyke.state._checks import find_faults
from lycheedyke.state._configuration import Configuration
from lycheedyke.state._counters import Counters
from lycheedyke.state._ledger import KeyLedger, KeyRecord, KeyRefused
from lycheedyke.state._outages import keep_in_use
from lycheedyke.state._pace import Pace
from lycheedyke.state._shares import hash_point, share_at

__all__ = (
    'AdmissionRefused',
    'Admitter',
    'BlockMap',
    'Configuration',
    'Counters',
    'KeyLedger',
    'KeyRecord',
    'KeyRefused',
    'Pace',
    'find_faults',
    'hash_point',
    'keep_in_use',
    'share_at',
)
