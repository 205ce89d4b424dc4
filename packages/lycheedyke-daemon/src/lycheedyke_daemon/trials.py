"""Asks for trials of requests that may crash the upstreams that run them."""

import logging
import secrets
from collections.abc import Iterable, Sequence
from datetime import timedelta
from typing import Protocol, TypeVar

import xxhash

from lycheedyke.state import (
    Suspects,
    TrialArbiter,
    TrialDecision,
    TrialReply,
    TrialRequest,
    Verdict,
)
from lycheedyke_daemon.detached import DetachedTasks

# If none of so many instances answers, each decides for itself.
MAX_ASKED = 3
MILLISECOND = timedelta(milliseconds=1)
PERMIT_BYTES = 8

_logger = logging.getLogger(__name__)
_Instance = TypeVar('_Instance')


class TrialPeers(Protocol):
    """The instances that decide on trials."""

    def deciding(self, fingerprint: str) -> Sequence[str]:
        """Returns the names of the instances by rank, this one as ''."""

    async def ask(self, peer: str, request: TrialRequest) -> TrialReply | None:
        """Returns the decision of a peer; None if it does not answer."""


class Trial:
    """A request that is on probation, or may come to be.

    Attributes:
        fingerprint: the digest of the request under which it is granted; ''
            if it is not.
        decided_by: the instance that granted it.
    """

    def __init__(self) -> None:
        """Initializes a trial that is not granted."""
        self._permit = ''
        self.fingerprint = ''
        self.decided_by = ''

    @property
    def is_granted(self) -> bool:
        """Whether the request may run as a trial."""
        return bool(self.fingerprint)

    @property
    def permit(self) -> str:
        """The id of the trial, which few requests need."""
        if not self._permit:
            self._permit = secrets.token_hex(PERMIT_BYTES)
        return self._permit

    def __repr__(self) -> str:
        """Returns what it is granted for, and by whom."""
        return f'<Trial of {self.fingerprint!r} by {self.decided_by!r}>'


class TrialClient:
    """Asks the instance that decides on the trials of a request.

    All instances ask the same one, the first by rank that answers them, so
    that trials of one request follow each other.

    Args:
        suspects: the suspects that this instance knows.
        arbiter: decides if this instance is to, or if no other one answers.
        peers: the instances that decide.
    """

    def __init__(
        self, suspects: Suspects, arbiter: TrialArbiter, peers: TrialPeers
    ) -> None:
        """Initializes the client."""
        self._suspects = suspects
        self._arbiter = arbiter
        self._peers = peers
        self._ends = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the arbiter of this instance."""
        return f'<TrialClient with {self._arbiter!r}>'

    async def ask(
        self, fingerprint: str, trial: Trial, lasts: timedelta
    ) -> TrialReply:
        """Returns the decision on a trial, and merges its evidence.

        The trial is not granted if the evidence has ended the probation.

        Args:
            fingerprint: the request.
            trial: its trial, which is granted or not.
            lasts: how long the trial may last.
        """
        request = TrialRequest(
            self._suspects.describe(fingerprint),
            trial.permit,
            max(0, lasts // MILLISECOND),
        )
        decided_by, reply = await self._ask_first(fingerprint, request)
        self._suspects.merge((reply.evidence,))
        if reply.decision is TrialDecision.granted:
            trial.fingerprint = fingerprint
            trial.decided_by = decided_by
        verdict = self._suspects.judge(fingerprint)
        if verdict is not Verdict.probation:
            # The evidence that came with the decision has settled it.
            self.end(trial)
        _logger.info(
            'trial decided',
            extra={
                'fingerprint': fingerprint,
                'decision': reply.decision.value,
                'verdict': verdict.name,
                'decided_by': decided_by,
                'crashes': len(reply.evidence.crashed),
                'trials': len(reply.evidence.trials),
                'wait_ms': reply.wait_ms,
            },
        )
        return reply

    def end(self, trial: Trial) -> None:
        """Tells that a granted trial has ended, without waiting for it."""
        if trial.is_granted:
            request = TrialRequest(
                self._suspects.describe(trial.fingerprint),
                trial.permit,
                is_over=True,
            )
            trial.fingerprint = ''
            self._ends.start(self._tell_end(trial.decided_by, request))

    async def _tell_end(self, decided_by: str, request: TrialRequest) -> None:
        if not decided_by:
            self._arbiter.decide(request)
        elif await self._peers.ask(decided_by, request) is None:
            _logger.info(
                'trial end not delivered',
                extra={
                    'fingerprint': request.evidence.fingerprint,
                    'peer': decided_by,
                },
            )

    async def _ask_first(
        self, fingerprint: str, request: TrialRequest
    ) -> tuple[str, TrialReply]:
        """Returns the first decision, and the instance that made it."""
        for peer in self._peers.deciding(fingerprint)[:MAX_ASKED]:
            if not peer:
                break
            reply = await self._peers.ask(peer, request)
            if reply is not None:
                return peer, reply
        return '', self._arbiter.decide(request)


def rank_deciding(fingerprint: str, names: Iterable[str]) -> list[str]:
    """Returns the names of instances by their rank for a request."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(
            f'trial {fingerprint} {name}'.encode()
        ),
        reverse=True,
    )
