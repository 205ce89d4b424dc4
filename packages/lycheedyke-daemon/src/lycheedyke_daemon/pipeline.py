"""The order of requests and answers on one connection.

A caller may send further requests before it has the answer to the first one.
They run side by side, and their answers are written in the order of the
requests. A connection is closed only after the last answer that is owed: what
stands behind the answer that closes it was not passed on to an upstream, and
the caller may send it again.
"""

import asyncio
import enum
from collections import deque
from collections.abc import Callable, Iterator
from datetime import timedelta

from aiohttp import web

# The requests of one connection that may be unanswered; with more of them,
# the connection is read no further.
MAX_UNANSWERED = 32
# Reading goes on once so many are unanswered.
RESUME_UNANSWERED = 16


class ResponseIncomplete(ConnectionError):
    """The rest of an answer that was begun is missing.

    The connection is closed at once, so that the answer can't look complete.
    """


class CloseReason(enum.Enum):
    """Why an instance closes the connection of a caller."""

    idle = 'idle'
    stopping = 'stopping'
    last_answer = 'last-answer'
    failed = 'failed'
    incomplete = 'incomplete'


class Turn:
    """The place of one request among the unanswered ones of its connection.

    Args:
        pipeline: the requests of the connection.
        arrived: when its head arrived, in seconds of the event loop.
        before: the request before it, if that is not answered.

    Attributes:
        request: the id of the request.
        task: the task that serves the request.
        is_passed_on: whether an upstream may have received the request.
        is_dropped: whether an answer before it closed the connection.
        is_answered: whether its answer is written; the rest of its body may
            still be read.
    """

    def __init__(
        self, pipeline: 'Pipeline', arrived: float, before: 'Turn | None'
    ) -> None:
        """Initializes a turn that is not the first."""
        self.request = ''
        self._behind = ''
        self._before = before
        self.task: asyncio.Task[None] | None = None
        self.is_passed_on = False
        self.is_dropped = False
        self.is_answered = False
        self._pipeline = pipeline
        self._arrived = arrived
        self._first = asyncio.Event()
        self._waited: timedelta | None = None

    @property
    def behind(self) -> str:
        """The id of the request that it stands or stood behind, or ''."""
        return self._before.request if self._before else self._behind

    @property
    def waited(self) -> timedelta:
        """How long it has stood behind others."""
        return self.age if self._waited is None else self._waited

    @property
    def is_first(self) -> bool:
        """Whether all requests before it are answered."""
        return self._first.is_set()

    @property
    def age(self) -> timedelta:
        """The time since the head of the request arrived."""
        now = asyncio.get_running_loop().time()
        return timedelta(seconds=max(0, now - self._arrived))

    @property
    def is_closing(self) -> bool:
        """Whether no request behind those that have been read is begun."""
        return self._pipeline.is_closing

    @property
    def closed_by(self) -> CloseReason | None:
        """Why the instance closed the connection; None if it did not."""
        return self._pipeline.closed_by

    def __repr__(self) -> str:
        """Returns the state of the request."""
        states = ('is_first', 'is_passed_on', 'is_dropped', 'is_answered')
        found = [state for state in states if getattr(self, state)]
        return f'<Turn {" ".join(found)}>'

    async def wait_first(self) -> None:
        """Waits until all requests before it are answered."""
        await self._first.wait()

    def begin(self) -> None:
        """Notes that all requests before it are answered."""
        if self._waited is None:
            self._waited = self.age if self._before else timedelta()
            # Keeps the id alone: the object refers to all requests before it.
            self._behind = self.behind
            self._before = None
        self._first.set()

    def drop(self) -> None:
        """Ends a request that the caller may send again."""
        self.is_dropped = True
        if self.task is not None:
            self.task.cancel()

    def refuse_rest(self) -> None:
        """Lets requests behind be refused in their turn, and not dropped.

        This holds for all further answers on the connection, and not for
        requests that were passed on.
        """
        self._pipeline.is_rest_refused = True

    def closes(self, *, is_wanted: bool) -> bool:
        """Returns whether the connection closes after this, the first, answer.

        Args:
            is_wanted: whether it is to close as soon as no answer to a request
                behind is owed.
        """
        pipeline = self._pipeline
        if is_wanted or pipeline.is_closing or pipeline.is_rest_refused:
            return pipeline.close_after(self)
        return False


class Pipeline:
    """The requests of one connection that have not ended, in their order.

    A request ends once it is answered and its body is read, or once it is
    dropped.

    Attributes:
        is_closing: whether no further request is begun, and the connection
            is closed after the last answer that is owed.
        is_rest_refused: whether requests behind that were not passed on are
            refused in their turn.
        closed_by: why the instance closed the connection; None if it did not.
    """

    def __init__(self) -> None:
        """Starts without requests."""
        self.is_closing = False
        self.is_rest_refused = False
        self.closed_by: CloseReason | None = None
        self._turns: deque[Turn] = deque()

    @property
    def unanswered(self) -> list[Turn]:
        """The requests that are owed an answer."""
        return [
            turn
            for turn in self._turns
            if not turn.is_dropped and not turn.is_answered
        ]

    def describe(self) -> dict[str, object]:
        """Returns what log lines tell of the requests that are not answered."""
        unanswered = self.unanswered
        return {
            'requests': [turn.request for turn in unanswered],
            'passed_on': sum(turn.is_passed_on for turn in unanswered),
        }

    def __len__(self) -> int:
        """Returns the number of requests that have not ended."""
        return len(self._turns)

    def __iter__(self) -> Iterator[Turn]:
        """Yields the requests that have not ended."""
        yield from tuple(self._turns)

    def __repr__(self) -> str:
        """Returns the number of requests that have not ended."""
        return f'<Pipeline: {len(self)} not ended>'

    def add(self, arrived: float) -> Turn:
        """Adds a request behind all others.

        Args:
            arrived: when its head arrived, in seconds of the event loop.
        """
        before = self._turns[-1] if self._turns else None
        turn = Turn(self, arrived, before)
        self._turns.append(turn)
        self._begin_first()
        return turn

    def end(self, turn: Turn) -> None:
        """Removes a request that has ended."""
        self._turns.remove(turn)
        self._begin_first()

    def close_after(self, turn: Turn) -> bool:
        """Returns whether the connection closes after the first answer.

        It does not while an answer to a request behind is owed: one that was
        passed on to an upstream. Otherwise the requests behind are dropped, or
        refused in their turn; then it closes after the last refusal.

        Args:
            turn: the first request.
        """
        behind = [each for each in self._turns if each is not turn]
        is_owed = any(each.is_passed_on for each in behind)
        if self.is_rest_refused:
            # What arrives while answers are owed is read, to be refused.
            self.is_closing = self.is_closing or not is_owed
            return not behind
        self.is_closing = True
        if is_owed:
            return False
        for each in behind:
            each.drop()
        return True

    def _begin_first(self) -> None:
        if self._turns:
            self._turns[0].begin()


TURN = web.RequestKey('turn', Turn)


async def may_pass_on(
    request: web.BaseRequest,
    left: timedelta,
    *,
    is_repeatable: bool,
    is_stopping: Callable[[], bool] | None = None,
) -> bool:
    """Waits until a request may be passed on; returns whether it may be.

    One that may run at most once is passed on when the answers before it are
    written: none of them can close the connection then, after which the
    caller could not tell whether it ran.

    A request may not be passed on if its time is over, if a stop begins while
    it waits, or in a stop once its connection is closing: what is read behind
    it is dropped, and the connection would end only after its run.

    Args:
        request: the request; `TURN` holds its place.
        left: the time until its deadline.
        is_repeatable: whether it may run more than once.
        is_stopping: returns whether a stop has begun in which nothing is
            passed on that has waited behind others, or on a connection that
            is closing; None if there is no such stop.
    """
    turn = request[TURN]
    waits = not is_repeatable and not turn.is_first
    if waits:
        try:
            async with asyncio.timeout(left.total_seconds()):
                await turn.wait_first()
        except TimeoutError:
            return False
    if is_stopping is not None and is_stopping():
        if waits or turn.is_closing:
            return False
    turn.is_passed_on = True
    return True


async def wait_turn(
    request: web.BaseRequest,
    response: web.StreamResponse,
    *,
    closes: bool = False,
) -> None:
    """Waits until the answer to a request may be written.

    Args:
        request: the request; `TURN` holds its place.
        response: its answer, which is not prepared; it is told whether the
            connection closes after it.
        closes: whether the connection is to be closed.
    """
    turn = request[TURN]
    await turn.wait_first()
    is_wanted = closes or not request.keep_alive or response.keep_alive is False
    if turn.closes(is_wanted=is_wanted):
        response.force_close()
