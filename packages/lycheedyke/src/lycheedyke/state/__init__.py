"""State and decisions: configuration, admission, selection, key records."""

from lycheedyke.state._admission import AdmissionController, AdmissionRefused
from lycheedyke.state._blocks import BlockMap
from lycheedyke.state._budgets import (
    ByteBudget,
    RegionBudgets,
    RetryBudget,
)
from lycheedyke.state._checks import find_faults, find_time_faults
from lycheedyke.state._concurrency import ConcurrencyLimiter
from lycheedyke.state._configuration import AcceptedShift, Configuration
from lycheedyke.state._counters import Counters
from lycheedyke.state._drains import Drain, DrainLog, LeavingCause
from lycheedyke.state._entry_lists import (
    ZoneCapacity,
    compute_zone_shares,
    list_entries,
    ramp_shares,
)
from lycheedyke.state._estimates import (
    Candidate,
    Distances,
    Request,
    record_run_time,
)
from lycheedyke.state._exports import (
    export_configuration,
    restore_configuration,
)
from lycheedyke.state._goal_admission import (
    estimate_retry_after,
    is_admissible,
    spread_retry_after,
    wait_share_of,
)
from lycheedyke.state._headroom import (
    Headroom,
    HeadroomReport,
    free_slots,
    report_headroom,
)
from lycheedyke.state._history import TicketHistory
from lycheedyke.state._key_store import (
    KeyRecord,
    KeyRefused,
    KeyStore,
    KeyStoreSealed,
    TransferredRecord,
)
from lycheedyke.state._outages import keep_in_use
from lycheedyke.state._plans import Plan, make_plan
from lycheedyke.state._references import find_reference_faults
from lycheedyke.state._repeats import RepeatBudget, RepeatLimit
from lycheedyke.state._response_timeout import response_timeout
from lycheedyke.state._route_use import RouteUse
from lycheedyke.state._routes import HostHomes, RouteTable
from lycheedyke.state._run_times import RouteRunTimes, RunTimeStats
from lycheedyke.state._selection import Hold, PermitSources, UpstreamSelector
from lycheedyke.state._shares import (
    ShiftPath,
    ShiftShares,
    hash_point,
    share_at,
)
from lycheedyke.state._splits import WeightedRoundRobin
from lycheedyke.state._stored_evidence import StoredEvidence
from lycheedyke.state._suspect_reports import Suspect
from lycheedyke.state._suspects import (
    QUARANTINE_TIME,
    Suspects,
)
from lycheedyke.state._trials import (
    TrialArbiter,
    TrialDecision,
    TrialReply,
    TrialRequest,
)
from lycheedyke.state._upstream_state import LossReason, UpstreamState
from lycheedyke.state._upstreams import UpstreamTable
from lycheedyke.state._verdicts import Judgement, SettledQuarantine, Verdict
from lycheedyke.state._warmup_limiter import WarmupLimiter, permit_interval
from lycheedyke.state.placement import Location, Pools
from lycheedyke.state.rates import (
    MAX_RATE,
    LimitNews,
    LimitNotUnderstood,
    PermitGrant,
    PermitIssuer,
    PermitRequest,
    SendLimit,
)
from lycheedyke.state.rates._send_permits import PermitBook, SendPermit

__all__ = (
    'LimitNews',
    'LimitNotUnderstood',
    'PermitBook',
    'Hold',
    'spread_retry_after',
    'PermitSources',
    'PermitGrant',
    'PermitIssuer',
    'PermitRequest',
    'SendLimit',
    'SendPermit',
    'MAX_RATE',
    'Distances',
    'UpstreamTable',
    'Candidate',
    'Judgement',
    'Location',
    'Pools',
    'is_admissible',
    'wait_share_of',
    'response_timeout',
    'estimate_retry_after',
    'RepeatBudget',
    'RepeatLimit',
    'Request',
    'RouteTable',
    'RouteRunTimes',
    'WeightedRoundRobin',
    'UpstreamSelector',
    'LossReason',
    'UpstreamState',
    'WarmupLimiter',
    'RunTimeStats',
    'ZoneCapacity',
    'list_entries',
    'ramp_shares',
    'compute_zone_shares',
    'record_run_time',
    'permit_interval',
    'export_configuration',
    'restore_configuration',
    'AcceptedShift',
    'ConcurrencyLimiter',
    'Plan',
    'TicketHistory',
    'find_reference_faults',
    'find_time_faults',
    'keep_in_use',
    'make_plan',
    'AdmissionRefused',
    'AdmissionController',
    'BlockMap',
    'ByteBudget',
    'Configuration',
    'Counters',
    'TransferredRecord',
    'Drain',
    'DrainLog',
    'Headroom',
    'HeadroomReport',
    'HostHomes',
    'RouteUse',
    'KeyStore',
    'KeyStoreSealed',
    'KeyRecord',
    'KeyRefused',
    'QUARANTINE_TIME',
    'SettledQuarantine',
    'StoredEvidence',
    'Suspect',
    'Suspects',
    'TrialDecision',
    'TrialArbiter',
    'TrialReply',
    'TrialRequest',
    'Verdict',
    'LeavingCause',
    'RegionBudgets',
    'RetryBudget',
    'ShiftShares',
    'ShiftPath',
    'find_faults',
    'free_slots',
    'hash_point',
    'report_headroom',
    'share_at',
)
