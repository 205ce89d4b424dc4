"""The part of the administration API for suspects."""

from typing import Any

from aiohttp import web

from lycheedyke.state import Suspect
from lycheedyke_daemon.suspect_replication import SuspectReplicator
from lycheedyke_daemon.ticket_api import json_response

SUSPECTS_PATH = '/v1/suspects'


class SuspectsApi:
    """Lists suspects, and clears one or all.

    Args:
        spread: the suspects, and the peers to tell.
    """

    def __init__(self, spread: SuspectReplicator) -> None:
        """Makes the API over the suspects of one instance."""
        self._spread = spread

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<SuspectsApi>'

    async def show(self, request: web.Request) -> web.Response:
        """Returns all suspects."""
        return json_response([_describe(each) for each in self._spread.list()])

    async def clear(self, request: web.Request) -> web.Response:
        """Clears the suspect of the query `fingerprint`, or all."""
        fingerprint = request.query.get('fingerprint')
        cleared = await self._spread.clear(fingerprint)
        return json_response([_describe(each) for each in cleared])


def _describe(suspect: Suspect) -> dict[str, Any]:
    return {
        'fingerprint': suspect.fingerprint,
        'crashed': suspect.crashed,
        'remaining_ms': suspect.remaining_ms,
        'quarantined': suspect.quarantined,
    }
