"""Calls of the administration API, at the first server that answers."""

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
        error: the machine-readable error.
        details: sentences for people.
    """

    def __init__(self, status: int, error: str, details: list[str]) -> None:
        """Joins the details."""
        super().__init__('; '.join(details) or error)
        self.status = status
        self.error = error
        self.details = details


class NoServerReachable(LycheedykeError):
    """None of the configured servers could be reached."""


class ResponseLost(LycheedykeError):
    """The server was reached, but its answer did not arrive."""


class AdminAccess(NamedTuple):
    """Where the administration API is, and the token for it."""

    servers: tuple[str, ...]
    token: str

    def __repr__(self) -> str:
        """Hides the token."""
        return f'Access({self.servers!r})'


class _Failure(msgspec.Struct):
    error: str
    details: list[str] = []


def read_access(config: Path | None) -> AdminAccess:
    """Reads the tool's INI file.

    Args:
        config: the file; by default what LYCHEEDYKECTL_CONFIG names.

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
    """Returns the decoded answer of the first server that is reached.

    Raises:
        ServerRefused: the server refused the call.
        NoServerReachable: no server could be reached.
        ResponseLost: the call may have been carried out.
    """
    return asyncio.run(_call(access, method, path, body))


async def _call(
    access: AdminAccess,
    method: str,
    path: str,
    body: bytes | None,
) -> Any:
    async with HttpClient() as http:
        for server in access.servers:
            try:
                answer = await http.send(
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
            return _read(answer)
    raise NoServerReachable(f'none of {", ".join(access.servers)} answered')


def _read(answer: HttpResponse) -> Any:
    if answer.status == HTTP_OK:
        return msgspec.json.decode(answer.body)
    try:
        failure = msgspec.json.decode(answer.body, type=_Failure)
    except msgspec.MsgspecError:
        failure = _Failure(f'status {answer.status}')
    raise ServerRefused(answer.status, failure.error, failure.details)
