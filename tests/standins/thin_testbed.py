"""Entry instances behind links of their own that carry few bytes a second."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from pathlib import Path
from types import TracebackType
from typing import Any, NamedTuple

from lycheedyke_daemon.gateway import GatewayInstance, read_gateway_settings
from standins.deployment import free_ports
from standins.gateway_testbed import SETTINGS, GatewayTestbed, make_instance
from standins.registry_store import config_value
from standins.thin_links import ThinLink, ThinRelay
from standins.virtual_time import run_in_virtual_time

ZONES = ('pnw-a', 'nc-a')
MEGABIT = 1_000_000
# A link of 5 Mbit/s of which downloads take seven tenths.
BUSY_THIN_LINK = 0.3 * 5 * MEGABIT
POLL_SECONDS = 0.01
# Of virtual time.
LIMIT_SECONDS = 600


class Member(NamedTuple):
    """An instance behind its link.

    Attributes:
        name: its name.
        zone: its availability zone.
        link: its link.
        instance: the instance.
    """

    name: str
    zone: str
    link: ThinLink
    instance: GatewayInstance


class ThinTestbed(GatewayTestbed):
    """A testbed whose instances reach the store and each other by relays.

    What an instance receives from the store, and what it sends to its peers,
    shares the link of that instance.

    Attributes:
        members: the instances with their links.
    """

    def __init__(self, folder: Path) -> None:
        """Creates the store and one upstream, without instances."""
        super().__init__(folder, upstreams=1, instances=0)
        self.members: list[Member] = []
        self._relays: list[ThinRelay] = []
        self._listeners: list[asyncio.Server] = []

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Stops all parts, and resets the connections that are held."""
        for member in self.members:
            member.link.release()
        await super().__aexit__(exc_type, exc, traceback)
        for listener in self._listeners:
            listener.close()
        for relay in self._relays:
            relay.reset()
        await asyncio.sleep(POLL_SECONDS)

    async def start_member(
        self,
        name: str,
        zone: str,
        bits_per_s: float | None,
        link_mbps: float = 5,
        seeds: str = '',
    ) -> Member:
        """Starts an instance behind a new link, and waits until it is ready.

        Args:
            name: its name.
            zone: its availability zone.
            bits_per_s: what its link carries; None without a limit.
            link_mbps: the bandwidth that its settings state.
            seeds: peer addresses of other instances.
        """
        link = ThinLink(bits_per_s)
        ports = free_ports(7)
        await self._serve(ThinRelay(self._store, link.up, link.down), ports[5])
        path = self._folder / f'{name}.ini'
        path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                region=zone.partition('-')[0],
                ports=ports,
                store=f'127.0.0.1:{ports[5]}',
                seeds=seeds,
                metrics=f'127.0.0.1:{ports[4]}',
            ).replace('[limits]', f'[limits]\nlink_mbps = {link_mbps}'),
        )
        settings = read_gateway_settings(path)
        instance = make_instance(settings)
        # Peers connect to the announced address, which is that of a relay.
        listening = f'127.0.0.1:{ports[6]}'
        await self._serve(ThinRelay(listening, link.down, link.up), ports[3])
        instance._settings = settings._replace(peer_address=listening)
        await instance.start()
        await instance.wait_ready()
        member = Member(name, zone, link, instance)
        self.instances.append(instance)
        self.settings.append(settings)
        self.members.append(member)
        return member

    async def start_zones(
        self, per_zone: int, bits_per_s: float | None, link_mbps: float = 5
    ) -> None:
        """Starts instances in both zones, and waits until all know all."""
        for at in range(per_zone):
            for zone in ZONES:
                name = f'{zone}-{at}'
                await self.start_member(name, zone, bits_per_s, link_mbps)
        await self.wait_all_listed()

    def silence_connections(self) -> None:
        """Lets nothing pass on open connections to the store and to peers."""
        for relay in self._relays:
            relay.silence()

    def count_store_reads(self) -> int:
        """Returns the number of reads and watches that the store has got."""
        return sum(
            path in {'/kv-watch', '/kv-range'} for path in self.store.calls
        )

    def sent_to_peers(self) -> int:
        """Returns the bytes that instances have sent to each other."""
        return sum(each.link.up.carried_bytes for each in self.members)

    async def _serve(self, relay: ThinRelay, port: int) -> None:
        self._relays.append(relay)
        self._listeners.append(
            await asyncio.start_server(relay.serve, '127.0.0.1', port)
        )

    async def measure_spread(
        self,
        number: int,
        limit_s: float,
        among: Iterable[Member] | None = None,
    ) -> dict[str, float]:
        """Waits until instances serve by a version.

        Args:
            number: the number of the configuration.
            limit_s: how long to wait, in seconds.
            among: the instances; all by default.

        Returns:
            After how many seconds each has it in force; those that do not
            are missing.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        waiting = {
            each.name: each.instance
            for each in (self.members if among is None else among)
        }
        times: dict[str, float] = {}
        while waiting and loop.time() < started + limit_s:
            for name, instance in list(waiting.items()):
                if instance._registry_view.number >= number:
                    times[name] = loop.time() - started
                    del waiting[name]
            await asyncio.sleep(POLL_SECONDS)
        return times


def write_configuration(
    testbed: GatewayTestbed,
    number: int,
    routes: list[dict[str, Any]],
    **parts: Any,
) -> None:
    """Writes a configuration to the store, which acknowledges it at once."""
    testbed.store.put('op/config', config_value(number, routes, **parts))


def head_of(members: Iterable[Member]) -> Member:
    """Returns the member that reads the store for all."""
    return next(
        each
        for each in members
        if each.instance._peer_updates.news_sources.source() is None
    )


def watchers_of_zone(members: Iterable[Member], zone: str) -> list[Member]:
    """Returns the members that provide a zone with news."""
    return [
        each
        for each in members
        if each.zone == zone and each.instance._peer_updates.is_watcher
    ]


Scene = Callable[[ThinTestbed], Awaitable[None]]


def run_thin_scenario(folder: Path, scene: Scene) -> None:
    """Runs a scene on a new testbed, in virtual time.

    Args:
        folder: the directory of the settings files.
        scene: the coroutine function that is called with the testbed.
    """

    async def _run() -> None:
        async with ThinTestbed(folder) as testbed:
            await scene(testbed)

    run_in_virtual_time(asyncio.wait_for(_run(), LIMIT_SECONDS))
