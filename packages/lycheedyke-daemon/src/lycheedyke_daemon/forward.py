"""Forwards work to peers over HTTP, and serves the work that they forward."""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
    Coroutine,
    Iterable,
    Mapping,
)
from datetime import timedelta
from typing import Annotated, Any, TypeVar

import msgspec
from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.exceptions import (
    ConnectError,
    ExchangeBroken,
    KeyMalformed,
    MessageRejected,
    TransportError,
)
from lycheedyke.protocol import (
    IdempotencyKey,
    InstanceInfo,
    MessageCodec,
    NotRun,
    Outcome,
    Reason,
    RunReply,
    RunRequest,
    Unknown,
)
from lycheedyke.state import Counters, RegionBudgets, Suspect
from lycheedyke.transport import HttpClient, HttpResponse
from lycheedyke_daemon.bodies import BodyReader, BodyRefused
from lycheedyke_daemon.detached import DetachedTasks
from lycheedyke_daemon.work import Work

RUN_PATH = '/v1/run'
SUSPECTS_PATH = '/v1/suspects'
REPORT_TIMEOUT = timedelta(milliseconds=300)
MAX_SUSPECTS = 256
MAX_RUN_BYTES = 4_194_304
RETRY_AFTER = timedelta(seconds=1)
HTTP_OK = 200
HTTP_FORBIDDEN = 403
HTTP_UNAVAILABLE = 503
MILLISECOND = timedelta(milliseconds=1)
ANSWER_MARGIN = timedelta(milliseconds=200)


class SuspectsReport(msgspec.Struct, frozen=True):
    """A report of the known suspects and of those that operators cleared."""

    suspects: Annotated[
        tuple[Suspect, ...],
        msgspec.Meta(max_length=MAX_SUSPECTS),
    ]
    cleared: Annotated[
        tuple[str, ...],
        msgspec.Meta(max_length=MAX_SUSPECTS),
    ] = ()


_Reply = TypeVar('_Reply', bound=msgspec.Struct)
RunOnUpstream = Callable[[str, Work], Coroutine[Any, Any, Outcome]]


class PeerClient:
    """Sends work and reports to the peer ports of other instances.

    Args:
        codec: signs requests and checks replies.
        clock: turns deadlines into remaining time.
        counters: counts rejected replies.
        budgets: the bytes that may be sent from this region to others.
        routes: maps addresses of peers to the addresses at which this
            instance reaches them.
    """

    def __init__(
        self,
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
        *,
        budgets: RegionBudgets,
        routes: Mapping[str, str],
    ) -> None:
        """Initializes the client."""
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._budgets = budgets
        self._routes = routes
        self._http = HttpClient(max_body_bytes=MAX_RUN_BYTES)

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<PeerClient>'

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.close()

    async def run(
        self,
        peer: InstanceInfo,
        work: Work,
        *,
        upstream: str = '',
        limit: timedelta | None = None,
    ) -> Outcome:
        """Returns the outcome of work that a peer runs.

        Args:
            peer: the instance that runs the work.
            work: the request.
            upstream: the upstream to use, which the peer owns; '' if the
                peer chooses one.
            limit: how long to wait for the reply; None to wait until the
                deadline.
        """
        remaining = work.deadline - self._clock.elapsed()
        if remaining < MILLISECOND:
            return _refuse(work, upstream, Reason.deadline_passed)
        request = RunRequest(
            service=work.service,
            upstream=upstream,
            method=work.method,
            target=work.target,
            headers=work.headers,
            body=work.body,
            remaining_ms=remaining // MILLISECOND,
            client=work.client,
            key=str(work.key or ''),
            home=work.home,
            region=self._budgets.region,
            resent=work.resent,
            may_wait=work.may_wait,
        )
        margin = ANSWER_MARGIN if upstream else 2 * ANSWER_MARGIN
        message = self._codec.encode(request)
        if peer.region != self._budgets.region:
            wait = self._budgets.for_region(peer.region).acquire(len(message))
            if wait is not None:
                return _refuse(
                    work,
                    upstream,
                    Reason.byte_budget,
                    max(wait, MILLISECOND),
                )
        address = self._routes.get(peer.peer_address, peer.peer_address)
        try:
            answer = await self._http.send(
                'POST',
                f'http://{address}{RUN_PATH}',
                timeout=min(remaining, limit or remaining) + margin,
                body=message,
            )
            return self._read_reply(answer.body)
        except ConnectError:
            if upstream:
                return NotRun(Reason.no_owner)
            return Unknown(Reason.home_unreachable)
        except ExchangeBroken:
            return Unknown(Reason.peer_broke)
        except MessageRejected:
            self._counters.count('message.rejected')
            return Unknown(Reason.peer_broke)

    async def report(
        self,
        peers: Iterable[InstanceInfo],
        report: SuspectsReport,
    ) -> None:
        """Sends a report to peers, and counts those that do not accept it."""
        results = await asyncio.gather(
            *(
                self.send(peer, SUSPECTS_PATH, report, timeout=REPORT_TIMEOUT)
                for peer in peers
            ),
        )
        self._counters.count('suspects.report-lost', results.count(False))

    async def send(
        self,
        peer: InstanceInfo,
        path: str,
        message: msgspec.Struct,
        *,
        timeout: timedelta,
    ) -> bool:
        """Sends a message to a peer; returns whether the peer accepted it."""
        answer = await self._post(peer, path, message, timeout)
        return answer is not None

    async def ask(
        self,
        peer: InstanceInfo,
        path: str,
        message: msgspec.Struct,
        kind: type[_Reply],
    ) -> _Reply | None:
        """Returns a peer's reply to a message; None if there is none.

        Args:
            peer: the instance that replies.
            path: the path of the peer port.
            message: the message.
            kind: the type of the reply.
        """
        answer = await self._post(peer, path, message, REPORT_TIMEOUT)
        if answer is None:
            return None
        try:
            return self._codec.decode(answer.body, kind)
        except MessageRejected:
            self._counters.count('message.rejected')
            return None

    async def _post(
        self,
        peer: InstanceInfo,
        path: str,
        message: msgspec.Struct,
        timeout: timedelta,
    ) -> HttpResponse | None:
        """Returns the answer of a peer; None if it accepted nothing."""
        address = self._routes.get(peer.peer_address, peer.peer_address)
        try:
            answer = await self._http.send(
                'POST',
                f'http://{address}{path}',
                timeout=timeout,
                body=self._codec.encode(message),
            )
        except TransportError:
            return None
        return answer if answer.status == HTTP_OK else None

    def _read_reply(self, body: bytes) -> Outcome:
        reply = self._codec.decode(body, RunReply, max_bytes=MAX_RUN_BYTES)
        return reply.outcome


def _refuse(
    work: Work,
    upstream: str,
    reason: Reason,
    retry_after: timedelta = RETRY_AFTER,
) -> Outcome:
    # An earlier attempt with the same key may have reached the home and run.
    if work.key and not upstream:
        return Unknown(reason)
    return NotRun(reason, retry_after)


class PeerApi:
    """Serves the work that peers forward.

    If the connection to the peer breaks, work with an idempotency key still
    runs to its end on the upstream, and idempotent work is cancelled.

    Args:
        run_owned: runs work on a named upstream of this instance.
        run_as_home: runs keyed work whose home is this instance.
        bodies: reads the bodies of requests.
        codec: checks requests and signs replies.
        clock: turns remaining time into deadlines.
        counters: counts rejected messages.
        budgets: the bytes that may be sent from this region to others.
    """

    def __init__(
        self,
        run_owned: RunOnUpstream,
        run_as_home: Callable[[Work, IdempotencyKey], Awaitable[Outcome]],
        bodies: BodyReader,
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
        *,
        budgets: RegionBudgets,
    ) -> None:
        """Initializes the API."""
        self._run_owned = run_owned
        self._run_as_home = run_as_home
        self._bodies = bodies
        self._budgets = budgets
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._runs = DetachedTasks()

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<PeerApi>'

    async def close(self) -> None:
        """Waits for all keyed runs."""
        await self._runs.close()

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [web.post(RUN_PATH, self._run)]

    async def serve(self, body: bytes) -> bytes:
        """Returns the signed reply to a forwarded request.

        Args:
            body: the signed `RunRequest`.

        Raises:
            MessageRejected: the message is malformed or not signed by a peer.
            KeyMalformed: the idempotency key of the request is malformed.
        """
        message = self._codec.decode(
            body,
            RunRequest,
            max_bytes=MAX_RUN_BYTES,
        )
        outcome = await self._run_message(message, self._to_work(message))
        reply = self._codec.encode(RunReply(outcome))
        if message.region not in {'', self._budgets.region}:
            self._budgets.for_region(message.region).charge(len(reply))
        return reply

    async def _run(self, request: web.Request) -> web.Response:
        try:
            async with self._bodies.read(request) as body:
                reply = await self.serve(body)
        except BodyRefused as refusal:
            self._counters.count(f'peer.{refusal.reason.value}')
            return web.Response(status=HTTP_UNAVAILABLE)
        except (MessageRejected, KeyMalformed):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        return web.Response(body=reply)

    async def _run_message(self, message: RunRequest, work: Work) -> Outcome:
        if not message.upstream:
            if work.key is None:
                return NotRun(Reason.key_missing)
            return await self._run_as_home(work, work.key)
        if message.region not in {'', self._budgets.region}:
            # Only an exhausted budget refuses work here: the size of the
            # answer is unknown, and the answer is sent whatever its size.
            wait = self._budgets.for_region(message.region).acquire(0)
            if wait is not None:
                return NotRun(Reason.byte_budget, max(wait, MILLISECOND))
        run = self._run_owned(message.upstream, work)
        return await (run if work.key is None else self._runs.run(run))

    def _to_work(self, message: RunRequest) -> Work:
        remaining = message.remaining_ms * MILLISECOND
        return Work(
            service=message.service,
            method=message.method,
            target=message.target,
            headers=message.headers,
            body=message.body,
            deadline=self._clock.elapsed() + remaining,
            client=message.client,
            key=IdempotencyKey.parse(message.key) if message.key else None,
            home=message.home,
            resent=message.resent,
            may_wait=message.may_wait,
        )
