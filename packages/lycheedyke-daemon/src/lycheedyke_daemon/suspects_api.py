"""The calls of the administration API that concern suspects."""

from typing import Any

from aiohttp import web

from lycheedyke.state import Suspect
from lycheedyke_daemon.suspect_replication import SuspectReplicator
from lycheedyke_daemon.ticket_api import json_response

SUSPECTS_PATH = '/v1/suspects'


class SuspectsApi:
    """Lists suspects, and clears one or all.

    Args:
        replicator: lists and clears suspects, and notifies peers.
    """

    def __init__(self, replicator: SuspectReplicator) -> None:
        """Initializes the API."""
        self._replicator = replicator

    def __repr__(self) -> str:
        """Returns the class name."""
        return '<SuspectsApi>'

    async def show(self, request: web.Request) -> web.Response:
        """Returns all suspects."""
        return json_response(
            [_describe(suspect) for suspect in self._replicator.list()]
        )

    async def clear(self, request: web.Request) -> web.Response:
        """Clears the suspect that the query `fingerprint` names, or all."""
        fingerprint = request.query.get('fingerprint')
        cleared = await self._replicator.clear(fingerprint)
        return json_response([_describe(suspect) for suspect in cleared])


def _describe(suspect: Suspect) -> dict[str, Any]:
    return {
        'fingerprint': suspect.fingerprint,
        'crashed': suspect.crashed,
        'remaining_ms': suspect.remaining_ms,
        'quarantined': suspect.quarantined,
    }
