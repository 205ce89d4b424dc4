"""The progress of one request through its attempts."""

from datetime import timedelta

from lycheedyke.protocol import Answered, NotRun, Outcome, Reason, Unknown
from lycheedyke.state import Candidate
from lycheedyke_daemon.admissions import Admission
from lycheedyke_daemon.gateway._upstream_client import Sending
from lycheedyke_daemon.work import Work

# With these reasons no upstream of the service got the request, so they don't
# count as attempts.
_NO_ATTEMPT = frozenset(
    (
        Reason.upstream_unreachable,
        Reason.upstream_replaced,
        Reason.upstream_leaving,
        Reason.upstream_limited,
        Reason.quarantined,
    )
)
# With these reasons no upstream is to run the request.
_FINAL = frozenset((Reason.deadline_passed, Reason.quarantined))
HTTP_SERVER_ERROR = 500


class RequestProgress:
    """The progress of one request: upstreams tried, attempts and outcome.

    Attributes:
        started: when the first upstream was looked for.
        admission: the permission to run.
        waited: the wait at the last upstream before the request was sent.
        news_age: the age of the last update from the registry at that time.
        tried: the names of the upstreams.
        attempts: the number of sends that may have reached an upstream.
        outcome: the outcome so far.
        candidate: the last upstream that was chosen.
        refusal: why the last upstream that was chosen does not get it.
        sending: the last send.
        next_candidate: the one that was found while the last was silent.
    """

    def __init__(self, started: timedelta, admission: Admission) -> None:
        """Initializes the progress of a request that was sent nowhere."""
        self.started = started
        self.admission = admission
        self.waited = timedelta()
        self.news_age = timedelta()
        self.tried: set[str] = set()
        self.attempts = 0
        self.outcome: Outcome | None = None
        self.candidate: Candidate | None = None
        self.refusal: Reason | None = None
        self.sending = Sending()
        self.next_candidate: Candidate | None = None

    def add(self, upstream: str, outcome: Outcome) -> None:
        """Records the outcome at one upstream.

        The overall outcome is "not run" only if it was so at all upstreams.
        """
        self.tried.add(upstream)
        if not _is_no_attempt(outcome):
            self.attempts += 1
        if not isinstance(outcome, NotRun) or self.outcome is None:
            self.outcome = outcome

    def take_next_candidate(self) -> Candidate | None:
        """Returns the upstream that was found while the last was silent."""
        found = self.next_candidate
        self.next_candidate = None
        return found


def _is_no_attempt(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason in _NO_ATTEMPT


def is_repeatable(work: Work, outcome: Outcome) -> bool:
    """Returns whether work may be sent again after an outcome."""
    if work.response_target is not None and work.response_target.has_begun:
        return False
    match outcome:
        case Answered(status):
            return work.idempotent and status >= HTTP_SERVER_ERROR
        case NotRun(reason):
            return reason not in _FINAL
        case Unknown(reason):
            return work.idempotent and reason is not Reason.upstream_timeout
