"""Requests that can not be parsed or made, and their answers."""

from http import HTTPStatus

from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.web_protocol import ERROR
from yarl import URL

# Stands for a head that can not be parsed.
MALFORMED = ERROR._replace(version=HttpVersion11)
# Stands for a target that can not be decoded.
ROOT = URL('/')


def is_decodable(url: URL) -> bool:
    """Returns whether a request can be made of its target."""
    try:
        return not url.absolute or url.host is not None
    except ValueError:
        return False


async def refuse_target(request: web.BaseRequest) -> web.StreamResponse:
    """Answers a request whose target can not be decoded."""
    return web.Response(status=HTTPStatus.BAD_REQUEST, text='malformed request')


async def refuse_malformed(request: web.BaseRequest) -> web.StreamResponse:
    """Answers bytes whose end is not known; closes the connection."""
    response = await refuse_target(request)
    response.force_close()
    return response
