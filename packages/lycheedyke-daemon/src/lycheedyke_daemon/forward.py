"""Forwards work to other instances over HTTP, and serves theirs."""

from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta

from aiohttp import web

from lycheedyke.clock import Clock
from lycheedyke.exceptions import (
    ConnectionNotMade,
    ExchangeBroken,
    KeyMalformed,
    MessageRejected,
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
from lycheedyke.state import Counters, RegionBudgets
from lycheedyke.transport import HttpClient
from lycheedyke_daemon.work import Work

RUN_PATH = '/v1/run'
HTTP_FORBIDDEN = 403
MILLISECOND = timedelta(milliseconds=1)
ANSWER_MARGIN = timedelta(milliseconds=200)

RunHere = Callable[[str, Work], Awaitable[Outcome]]


class PeerClient:
    """Sends work to the peer ports of other instances.

    Args:
        codec: signs requests and checks replies.
        clock: turns deadlines into remaining time.
        counters: counts rejected replies.
        budgets: the bytes that may go to other regions.
        region: the own region.
        routes: addresses to use in place of others.
    """

    def __init__(
        self,
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
        *,
        budgets: RegionBudgets,
        region: str,
        routes: Mapping[str, str],
    ) -> None:
        """Makes a client without connections."""
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._budgets = budgets
        self._region = region
        self._routes = routes
        self._http = HttpClient()

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
    ) -> Outcome:
        """Returns the outcome of work run by a peer.

        Args:
            peer: the instance to run it.
            work: the request.
            upstream: the upstream that the peer owns; '' if it decides.
        """
        remaining = work.deadline - self._clock.elapsed()
        if remaining < MILLISECOND:
            return NotRun(Reason.deadline_passed)
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
            region=self._region,
            resent=work.resent,
        )
        message = self._codec.encode(request)
        if peer.region != self._region:
            wait = self._budgets.to(peer.region).take(len(message))
            if wait is not None:
                return NotRun(Reason.byte_budget, max(wait, MILLISECOND))
        address = self._routes.get(peer.peer_address, peer.peer_address)
        try:
            answer = await self._http.send(
                'POST',
                f'http://{address}{RUN_PATH}',
                timeout=remaining + ANSWER_MARGIN,
                body=message,
            )
            return self._codec.decode(answer.body, RunReply).outcome
        except ConnectionNotMade:
            if work.key and not upstream:
                return Unknown(Reason.home_unreachable)
            return NotRun(Reason.no_owner)
        except ExchangeBroken:
            return Unknown(Reason.peer_broke)
        except MessageRejected:
            self._counters.count('message.rejected')
            return Unknown(Reason.peer_broke)


class PeerApi:
    """Serves the work that peers forward.

    Args:
        run_owned: runs work on a named upstream of this instance.
        run_home: runs keyed work whose home is this instance.
        codec: checks requests and signs replies.
        clock: turns remaining time into deadlines.
        counters: counts rejected requests.
        budgets: the bytes that may go to other regions.
        region: the own region.
    """

    def __init__(
        self,
        run_owned: RunHere,
        run_home: Callable[[Work], Awaitable[Outcome]],
        codec: MessageCodec,
        clock: Clock,
        counters: Counters,
        *,
        budgets: RegionBudgets,
        region: str,
    ) -> None:
        """Makes the API over the parts of one instance."""
        self._run_owned = run_owned
        self._run_home = run_home
        self._budgets = budgets
        self._region = region
        self._codec = codec
        self._clock = clock
        self._counters = counters

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<PeerApi>'

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the peer port."""
        return [web.post(RUN_PATH, self._run)]

    async def _run(self, request: web.Request) -> web.Response:
        try:
            message = self._codec.decode(await request.read(), RunRequest)
            work = self._to_work(message)
        except (MessageRejected, KeyMalformed):
            self._counters.count('message.rejected')
            return web.Response(status=HTTP_FORBIDDEN)
        outcome = await self._run_within_budget(message, work)
        reply = self._codec.encode(RunReply(outcome))
        if message.region not in {'', self._region}:
            self._budgets.to(message.region).spend(len(reply))
        return web.Response(body=reply)

    async def _run_within_budget(
        self,
        message: RunRequest,
        work: Work,
    ) -> Outcome:
        if not message.upstream:
            return await self._run_home(work)
        if message.region not in {'', self._region}:
            # Once the work has run, its answer is sent whatever its size.
            wait = self._budgets.to(message.region).take(0)
            if wait is not None:
                return NotRun(Reason.byte_budget, max(wait, MILLISECOND))
        return await self._run_owned(message.upstream, work)

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
        )
