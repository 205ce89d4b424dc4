"""The HTTP servers of one instance."""

from aiohttp import web


class HttpServers:
    """Servers at some addresses, closed in the reverse of their order."""

    def __init__(self) -> None:
        """Makes no server yet."""
        self._runners: list[web.AppRunner] = []

    def __repr__(self) -> str:
        """Returns the number of servers."""
        return f'<HttpServers: {len(self._runners)}>'

    async def open(self, app: web.Application, address: str) -> None:
        """Serves an application at `ip:port`."""
        host, _, port = address.rpartition(':')
        runner = web.AppRunner(
            app,
            access_log=None,
            handle_signals=False,
            handler_cancellation=True,
            auto_decompress=False,
        )
        await runner.setup()
        await web.TCPSite(runner, host.strip('[]'), int(port)).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Closes all servers once their requests have ended."""
        for runner in reversed(self._runners):
            await runner.cleanup()
