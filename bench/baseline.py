"""Serves a constant response with aiohttp, as a baseline for rates.

Run as `python -m bench.baseline PORT`.
"""

import sys

import uvloop
from aiohttp import web

CONSTANT = b'{"entries":[]}' * 20


async def answer(request: web.Request) -> web.Response:
    """Returns the constant body."""
    return web.Response(body=CONSTANT, content_type='application/json')


def main() -> None:
    """Serves until the process is terminated."""
    uvloop.install()
    app = web.Application()
    app.add_routes([web.get('/v1/lookup', answer)])
    port = int(sys.argv[1])
    web.run_app(
        app,
        host='127.0.0.1',
        port=port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    main()
