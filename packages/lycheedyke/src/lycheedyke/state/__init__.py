"""State: configuration, admission, key records and counters."""

from lycheedyke.state._admission import AdmissionRefused, Admitter
from lycheedyke.state._blocks import BlockMap
from lycheedyke.state._budgets import (
    ByteBudget,
    RegionBudgets,
    RetryBudget,
)
from lycheedyke.state._checks import find_faults, find_time_faults
from lycheedyke.state._choice import (
    Distances,
    Pick,
    Request,
    UpstreamChoice,
    learn,
)
from lycheedyke.state._configuration import AcceptedShift, Configuration
from lycheedyke.state._counters import Counters
from lycheedyke.state._drains import Drain, DrainLog, LeavingCause
from lycheedyke.state._entry_lists import (
    ZoneSupply,
    list_entries,
    ramp_shares,
    share_supply,
)
from lycheedyke.state._exports import (
    export_configuration,
    restore_configuration,
)
from lycheedyke.state._fleet import Fleet, UpstreamState
from lycheedyke.state._headroom import (
    Headroom,
    HeadroomReport,
    free_slots,
    report_headroom,
)
from lycheedyke.state._history import TicketHistory
from lycheedyke.state._ledger import (
    HandedRecord,
    KeyLedger,
    KeyMoved,
    KeyRecord,
    KeyRefused,
)
from lycheedyke.state._memory import MemoryBudget, MemoryFull
from lycheedyke.state._outages import keep_in_use
from lycheedyke.state._pace import Pace
from lycheedyke.state._plans import Plan, make_plan
from lycheedyke.state._pools import Place, Pools
from lycheedyke.state._references import find_reference_faults
from lycheedyke.state._repeats import RepeatBudget, RepeatTerms
from lycheedyke.state._room import has_room, patience, time_to_return
from lycheedyke.state._routes import RouteTable, SplitTurns
from lycheedyke.state._shares import (
    ShiftShares,
    Way,
    hash_point,
    share_at,
)
from lycheedyke.state._silence import time_to_give_up
from lycheedyke.state._suspects import Suspect, Suspects, Verdict
from lycheedyke.state._warmup import WarmupPace, turn_period
from lycheedyke.state._worktimes import RunTimes, WorkTimes

__all__ = (
    'Distances',
    'Fleet',
    'Pick',
    'Place',
    'Pools',
    'has_room',
    'patience',
    'time_to_give_up',
    'time_to_return',
    'RepeatBudget',
    'RepeatTerms',
    'Request',
    'RouteTable',
    'RunTimes',
    'SplitTurns',
    'UpstreamChoice',
    'UpstreamState',
    'WarmupPace',
    'WorkTimes',
    'ZoneSupply',
    'list_entries',
    'ramp_shares',
    'share_supply',
    'learn',
    'turn_period',
    'export_configuration',
    'restore_configuration',
    'AcceptedShift',
    'Pace',
    'Plan',
    'TicketHistory',
    'find_reference_faults',
    'find_time_faults',
    'keep_in_use',
    'make_plan',
    'AdmissionRefused',
    'Admitter',
    'BlockMap',
    'ByteBudget',
    'Configuration',
    'Counters',
    'HandedRecord',
    'Drain',
    'DrainLog',
    'Headroom',
    'HeadroomReport',
    'KeyLedger',
    'KeyMoved',
    'KeyRecord',
    'KeyRefused',
    'MemoryBudget',
    'MemoryFull',
    'Suspect',
    'Suspects',
    'Verdict',
    'LeavingCause',
    'RegionBudgets',
    'RetryBudget',
    'ShiftShares',
    'Way',
    'find_faults',
    'free_slots',
    'hash_point',
    'report_headroom',
    'share_at',
)
