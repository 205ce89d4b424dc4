"""What the log and the counters tell of the way of a configuration."""

import asyncio
import logging
from pathlib import Path

import pytest

from standins.gateway_testbed import ROUTES, GatewayTestbed, run_scenario
from standins.registry_store import config_value

VERSION = 0x2F
SETTLE_SECONDS = 2.0
LINE = 'configuration in force'


# Guards against versions of which nobody can tell where they came from.
def test_the_line_on_a_version_names_its_source(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """One instance has it from the registry, the others from a peer."""

    async def _scene(platform: GatewayTestbed) -> None:
        with caplog.at_level(logging.INFO):
            revision = platform.store.put(
                'op/config', config_value(VERSION, list(ROUTES))
            )
            await asyncio.sleep(SETTLE_SECONDS)
        lines = [
            vars(record)
            for record in caplog.records
            if record.msg == LINE and vars(record)['version'] == VERSION
        ]
        sources = {line['source'] for line in lines}
        addresses = {each.peer_address for each in platform.settings}
        assert len(lines) == 3
        assert {line['revision'] for line in lines} == {revision}
        assert 'registry' in sources
        assert sources - {'registry'} <= addresses
        assert len(sources) > 1
        assert all(line['bytes'] > 0 for line in lines)
        assert all(line['transfer_ms'] >= 0 for line in lines)
        assert all(line['heard_ms'] >= 0 for line in lines)

    run_scenario(tmp_path, _scene, limit_s=60, instances=3)


# Guards against polls that fail without a reason.
def test_polls_that_fail_are_counted_by_reason(tmp_path: Path) -> None:
    """A stopped peer refuses connections."""

    async def _scene(platform: GatewayTestbed) -> None:
        updates = platform.instances[0]._peer_updates
        counts = platform.instances[0]._counters.counts
        assert (
            await updates._poll('127.0.0.1:1', updates._replica.position)
            is None
        )
        assert counts['news.not-heard.refused'] == 1
        assert counts['news.not-heard'] == 1

    run_scenario(tmp_path, _scene, limit_s=60)
