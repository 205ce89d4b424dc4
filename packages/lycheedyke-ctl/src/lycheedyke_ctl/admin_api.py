"""Calls the administration API of the first server that can be reached."""

import asyncio
import configparser
import os
from datetime import timedelta
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from lycheedyke.exceptions import (
    ConnectError,
    LycheedykeError,
    SettingsInvalid,
    TransportError,
)
from lycheedyke.transport import HttpClient, HttpResponse

CONFIG_VARIABLE = 'LYCHEEDYKECTL_CONFIG'
CALL_TIMEOUT = timedelta(seconds=15)
HTTP_OK = 200


class ServerRefused(LycheedykeError):
    """The administration API refused a call.

    Attributes:
        status: the HTTP status.
        error: the machine-readable error code.
        details: human-readable sentences.
    """

    def __init__(self, status: int, error: str, details: list[str]) -> None:
        """Joins the details into one message."""
        super().__init__('; '.join(details) or error)
        self.status = status
        self.error = error
        self.details = details


class NoServerReachable(LycheedykeError):
    """None of the configured servers could be reached."""


class ResponseLost(LycheedykeError):
    """The server was reached, but its response did not arrive."""


class AdminAccess(NamedTuple):
    """The addresses of the administration API, and the token for it."""

    servers: tuple[str, ...]
    token: str

    def __repr__(self) -> str:
        """Returns the addresses without the token."""
        return f'Access({self.servers!r})'


class _ErrorResponse(msgspec.Struct):
    error: str
    details: list[str] = []


def read_access(config: Path | None) -> AdminAccess:
    """Reads the tool's INI file.

    Args:
        config: the file; by default the one in LYCHEEDYKECTL_CONFIG, or
            `lycheedykectl.ini`.

    Raises:
        SettingsInvalid: the file is missing or incomplete.
    """
    path = config or Path(os.environ.get(CONFIG_VARIABLE, 'lycheedykectl.ini'))
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding='utf-8'), str(path))
        servers = parser['server']['addresses']
        token_file = Path(parser['server']['token_file'])
        token = token_file.read_text(encoding='utf-8').strip()
    except KeyError as error:
        raise SettingsInvalid(
            [f'{path}: [server] {error} is missing']
        ) from error
    except (OSError, configparser.Error) as error:
        raise SettingsInvalid([f'{path}: {error}']) from error
    return AdminAccess(
        tuple(part.strip() for part in servers.split(',')), token
    )


def call(
    access: AdminAccess,
    method: str,
    path: str,
    body: bytes | None = None,
) -> Any:
    """Returns the decoded response of the first server that is reached.

    Raises:
        ServerRefused: the server refused the call.
        NoServerReachable: no server could be reached.
        ResponseLost: no response arrived; the call may have been executed.
    """
    return asyncio.run(_call_first_reachable(access, method, path, body))


async def _call_first_reachable(
    access: AdminAccess,
    method: str,
    path: str,
    body: bytes | None,
) -> Any:
    async with HttpClient() as http:
        for server in access.servers:
            try:
                response = await http.send(
                    method,
                    f'http://{server}{path}',
                    timeout=CALL_TIMEOUT,
                    headers={'Authorization': f'Bearer {access.token}'},
                    body=body,
                )
            except ConnectError:
                continue
            except TransportError as error:
                raise ResponseLost(f'{server}: {error}') from error
            return _decode_response(response)
    raise NoServerReachable(
        f'none of the servers {", ".join(access.servers)} could be reached',
    )


def _decode_response(response: HttpResponse) -> Any:
    if response.status == HTTP_OK:
        return msgspec.json.decode(response.body)
    try:
        failure = msgspec.json.decode(response.body, type=_ErrorResponse)
    except msgspec.MsgspecError:
        failure = _ErrorResponse(f'status {response.status}')
    raise ServerRefused(response.status, failure.error, failure.details)
