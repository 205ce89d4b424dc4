"""Real kills, freezes and lost answers: the upstream counts the runs."""

import asyncio
import json
import signal
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from lycheedyke import Client
from lycheedyke.exceptions import OutcomeUnknown, RequestNotRun
from standins.deployment import (
    Deployment,
    admin_headers,
    call,
    free_ports,
    poll_for,
)

pytestmark = pytest.mark.processes
ZONES = {'norr-a': 'norr'}
LIFE_MS = 60_000
UPSTREAMS = 4


def ticket(ports: list[int]) -> dict[str, object]:
    """Returns a ticket with one service whose upstreams are at the ports."""
    return {
        'author': 'tests-0001',
        'based_on': 0,
        'created': datetime.now(UTC).isoformat(),
        'zones': {zone: {'region': region} for zone, region in ZONES.items()},
        'services': {'kassa': {'customer': 'pantsaker'}},
        'upstreams': {
            f'kassa-{index}': {
                'service': 'kassa',
                'zone': 'norr-a',
                'address': f'127.0.0.1:{port}',
                'slots': 9,
            }
            for index, port in enumerate(ports)
        },
    }


class Till:
    """Sends credits by hand, and knows what the upstreams have run."""

    def __init__(self, running: Deployment, ports: list[int]) -> None:
        self.running = running
        self.ports = ports

    async def prepare(self) -> None:
        """Applies the ticket and waits until every look-up is whole."""
        seats = list(self.running.instances.values())
        status, reply = await call(
            'POST',
            f'http://{seats[0].admin}/v1/tickets',
            headers=admin_headers(),
            json=ticket(self.ports),
        )
        assert status == 200, reply
        for seat in seats:
            for _ in poll_for(20):
                if len(await self.entries(seat.caller)) == len(seats):
                    break

    async def entries(self, address: str) -> dict[str, dict[str, Any]]:
        """Returns the look-up answer of one instance, by name."""
        url = f'http://{address}/v1/lookup?service=kassa'
        _, found = await call('GET', url)
        return {each['instance']: each for each in found.get('entries', ())}

    async def key(self, home: str, nonce: str) -> str:
        """Returns a key whose home is the named instance."""
        seat = self.running.instances[home]
        entry = (await self.entries(seat.caller))[home]
        expiry = entry['age_ms'] + LIFE_MS
        return f'{entry["incarnation"]}.{expiry}.{nonce:0>8}'

    async def credit(
        self,
        name: str,
        key: str,
        body: str,
        remaining_ms: int = 4000,
    ) -> tuple[str, Any]:
        """Sends a credit to an instance; returns outcome and JSON body."""
        seat = self.running.instances[name]
        headers = {
            'Idempotency-Key': key,
            'Lycheedyke-Remaining-Ms': str(remaining_ms),
        }
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f'http://{seat.caller}/v1/services/kassa/credits',
                    headers=headers,
                    data=body,
                ) as response,
            ):
                outcome = response.headers['Lycheedyke-Outcome']
                return outcome, await response.json()
        except aiohttp.ClientError as error:
            return 'no answer', repr(error)

    async def runs(self, body: str) -> int:
        """Returns how often a credit ran, at all upstreams together."""
        total = 0
        for port in self.ports:
            _, record = await call('GET', f'http://127.0.0.1:{port}/record')
            total += record['runs'].get(f'POST /credits {body}', 0)
        return total

    async def fault(self, **faults: Any) -> None:
        """Sets faults at all upstreams."""
        for port in self.ports:
            await call('POST', f'http://127.0.0.1:{port}/fault', json=faults)

    async def wait_for_run(self, body: str) -> None:
        """Waits until a credit has begun to run."""
        for _ in poll_for(10):
            if await self.runs(body):
                return
        raise AssertionError(f'{body} did not run')


def drive(tmp_path: Path, story: Any, entries: int = 3) -> None:
    """Runs a story over one zone with real processes."""
    ports = free_ports(UPSTREAMS)
    with Deployment(tmp_path, zones=ZONES, entries=entries) as running:
        for index, port in enumerate(ports):
            running.start_upstreams(f'kassa-{index}', [port])
        till = Till(running, ports)

        async def run() -> None:
            await till.prepare()
            await story(till)

        asyncio.run(run())


def test_resends_join_the_one_run(tmp_path: Path) -> None:
    """Resends through all entries, at once and later, get the one answer."""

    async def story(till: Till) -> None:
        names = list(till.running.instances)
        await till.fault(run_ms=300)
        for home in names:
            key = await till.key(home, '1')
            answers = await asyncio.gather(
                *(till.credit(name, key, home) for name in names * 2)
            )
            later = [await till.credit(name, key, home) for name in names]
            assert {each[0] for each in (*answers, *later)} == {'answered'}
            assert {each[1]['run'] for each in (*answers, *later)} == {1}
            other = await till.credit(home, key, 'other')
            assert other[1] == {'outcome': 'not-run', 'reason': 'key-reused'}
            assert (await till.runs(home), await till.runs('other')) == (1, 0)

    drive(tmp_path, story)


def test_lost_answers_are_unknown_for_every_resend(tmp_path: Path) -> None:
    """Work whose answer the upstream loses ran once and stays unknown."""

    async def story(till: Till) -> None:
        home, other = list(till.running.instances)[:2]
        await till.fault(lose_answers=1)
        key = await till.key(home, '1')
        for name in (home, other, home):
            outcome, body = await till.credit(name, key, 'lost')
            assert (outcome, body['reason'])[0] == 'unknown', body
        await till.fault()
        assert (await till.credit(home, key, 'lost'))[0] == 'unknown'
        assert await till.runs('lost') == 1

    drive(tmp_path, story)


def test_a_killed_home_takes_its_keys_along(tmp_path: Path) -> None:
    """After kill -9 nobody runs the key again, also not its replacement."""

    async def story(till: Till) -> None:
        home, other = list(till.running.instances)[:2]
        await till.fault(run_ms=1000)
        key = await till.key(home, '1')
        sent = asyncio.create_task(till.credit(home, key, 'killed'))
        await till.wait_for_run('killed')
        till.running.signal(home, signal.SIGKILL)
        till.running.wait(home)
        assert (await sent)[0] == 'no answer'
        outcome, body = await till.credit(other, key, 'killed', 500)
        assert (outcome, body['outcome']) == ('unknown', 'unknown')
        till.running.start_entry(home)
        for _ in poll_for(10):
            outcome, body = await till.credit(home, key, 'killed')
            if body['reason'] == 'home-gone':
                break
        assert (outcome, body['reason']) == ('unknown', 'home-gone')
        assert await till.runs('killed') == 1

    drive(tmp_path, story)


def test_a_frozen_home_runs_nothing_twice(tmp_path: Path) -> None:
    """A home frozen past every timeout, then woken, has run its key once."""

    async def story(till: Till) -> None:
        home, other = list(till.running.instances)[:2]
        await till.fault(run_ms=300)
        key = await till.key(home, '1')
        sent = asyncio.create_task(till.credit(home, key, 'frozen'))
        await till.wait_for_run('frozen')
        till.running.signal(home, signal.SIGSTOP)
        outcome, _ = await till.credit(other, key, 'frozen', 500)
        assert outcome == 'unknown'
        unsent = await till.credit(other, await till.key(other, '2'), 'new')
        till.running.signal(home, signal.SIGCONT)
        await sent
        assert (await till.credit(home, key, 'frozen'))[0] != 'not-run'
        assert await till.runs('frozen') == 1
        assert await till.runs('new') == (unsent[0] != 'not-run')

    drive(tmp_path, story)


def test_a_cancelled_credit_runs_to_its_end(tmp_path: Path) -> None:
    """The caller hangs up; a resend gets the answer of the one run."""

    async def story(till: Till) -> None:
        home, other = list(till.running.instances)[:2]
        await till.fault(run_ms=500)
        key = await till.key(home, '1')
        sent = asyncio.create_task(till.credit(other, key, 'cancelled'))
        await till.wait_for_run('cancelled')
        sent.cancel()
        outcome, body = await till.credit(other, key, 'cancelled')
        assert (outcome, body['run']) == ('answered', 1)

    drive(tmp_path, story)


def test_the_client_resends_and_never_lies(tmp_path: Path) -> None:
    """Credits of the client during kills of entries run at most once."""

    async def story(till: Till) -> None:
        seats = till.running.instances
        await till.fault(run_ms=20)
        async with Client([seat.caller for seat in seats.values()]) as client:

            async def send(body: str) -> tuple[str, str]:
                try:
                    reply = await client.post(
                        'kassa', '/credits', body.encode()
                    )
                except RequestNotRun:
                    return body, 'not-run'
                except OutcomeUnknown:
                    return body, 'unknown'
                assert json.loads(reply.body)['ran'].endswith(body)
                return body, 'answered'

            sent = []
            for number in range(60):
                sent.append(asyncio.create_task(send(f'credit-{number}')))
                await asyncio.sleep(0.02)
                if number == 30:
                    till.running.signal(next(iter(seats)), signal.SIGKILL)
            for task in sent:
                body, outcome = await task
                runs = await till.runs(body)
                assert runs <= 1, body
                assert outcome != 'answered' or runs == 1, body
                assert outcome != 'not-run' or runs == 0, body

    drive(tmp_path, story)


def test_a_crashing_request_is_quarantined(tmp_path: Path) -> None:
    """It takes down two upstreams at most, with new keys, at all entries."""

    async def story(till: Till) -> None:
        names = list(till.running.instances)
        for port in till.ports:
            await call(
                'POST',
                f'http://127.0.0.1:{port}/fault',
                json={'crash_on': 'poison', 'run_ms': 50},
            )
        good = [
            asyncio.create_task(
                till.credit(name, await till.key(name, '1'), f'good {name}')
            )
            for name in names
        ]
        for number in range(9):
            name = names[number % 3]
            key = await till.key(name, f'2{number}')
            outcome, body = await till.credit(name, key, 'poison')
        assert (outcome, body['reason']) == ('not-run', 'quarantined')
        await asyncio.gather(*good)
        alive = [
            name
            for name, process in till.running.processes.items()
            if name.startswith('kassa-') and process.poll() is None
        ]
        assert len(alive) == UPSTREAMS - 2
        seat = till.running.instances[names[0]]
        url = f'http://{seat.admin}/v1/suspects'
        _, listed = await call('GET', url, headers=admin_headers())
        quarantined_now = [each for each in listed if each['quarantined']]
        assert [len(each['crashed']) for each in quarantined_now] == [2]
        for name in names:
            key = await till.key(name, '30')
            again = await till.credit(name, key, f'good {name}')
            assert again[0] == 'answered', again
        _, cleared = await call('DELETE', url, headers=admin_headers())
        assert quarantined_now[0]['fingerprint'] in {
            each['fingerprint'] for each in cleared
        }

    drive(tmp_path, story)


def test_a_planned_stop_hands_its_keys_over(tmp_path: Path) -> None:
    """After the stop, resends are answered and unsent keys run, once each."""

    async def story(till: Till) -> None:
        home, *others = till.running.instances
        done, fresh = await till.key(home, '1'), await till.key(home, '2')
        late = await till.key(home, '3')
        await till.fault(run_ms=300)
        assert (await till.credit(home, done, 'done'))[0] == 'answered'
        till.running.signal(home, signal.SIGTERM)
        sent = [
            asyncio.create_task(till.credit(name, fresh, 'fresh'))
            for name in (home, *others)
        ]
        assert {(await each)[0] for each in sent} == {'answered'}
        assert await asyncio.to_thread(till.running.wait, home) == 0
        for name in others:
            for key, body in ((done, 'done'), (fresh, 'fresh'), (late, 'late')):
                outcome, answer = await till.credit(name, key, body)
                assert (outcome, answer['run']) == ('answered', 1)

    drive(tmp_path, story)
