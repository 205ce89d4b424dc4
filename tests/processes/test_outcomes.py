"""Tests outcomes under kills, freezes and lost answers.

The upstreams count how often each request ran.
"""

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
KEY_LIFETIME_MS = 60_000
UPSTREAMS = 6
# So long after the crash of a trial there is no other one.
TRIAL_PAUSE_SECONDS = 8


def make_ticket(ports: list[int]) -> dict[str, object]:
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


class CreditTestbed:
    """Sends credits without the client and reads what the upstreams ran."""

    def __init__(self, running: Deployment, ports: list[int]) -> None:
        self.running = running
        self.ports = ports

    async def prepare(self) -> None:
        """Applies the ticket and waits until look-ups name all instances."""
        instances = list(self.running.instances.values())
        status, reply = await call(
            'POST',
            f'http://{instances[0].admin}/v1/tickets',
            headers=admin_headers(),
            json=make_ticket(self.ports),
        )
        assert status == 200, reply
        for instance in instances:
            for _ in poll_for(20):
                if len(await self.look_up(instance.caller)) == len(instances):
                    break

    async def look_up(self, address: str) -> dict[str, dict[str, Any]]:
        """Returns the look-up entries of one instance by instance name."""
        url = f'http://{address}/v1/lookup?service=kassa'
        _, found = await call('GET', url)
        return {each['instance']: each for each in found.get('entries', ())}

    async def make_key(self, home: str, nonce: str) -> str:
        """Returns an idempotency key whose home is the named instance."""
        instance = self.running.instances[home]
        entry = (await self.look_up(instance.caller))[home]
        expiry = entry['age_ms'] + KEY_LIFETIME_MS
        return f'{entry["incarnation"]}.{expiry}.{nonce:0>8}'

    async def send_credit(
        self,
        name: str,
        key: str,
        body: str,
        remaining_ms: int = 4000,
    ) -> tuple[str, Any]:
        """Sends a credit to an instance; returns the outcome and JSON body."""
        instance = self.running.instances[name]
        headers = {
            'Idempotency-Key': key,
            'Lycheedyke-Remaining-Ms': str(remaining_ms),
        }
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(
                    f'http://{instance.caller}/v1/services/kassa/credits',
                    headers=headers,
                    data=body,
                ) as response,
            ):
                outcome = response.headers['Lycheedyke-Outcome']
                return outcome, await response.json()
        except aiohttp.ClientError as error:
            return 'no answer', repr(error)

    async def count_runs(self, body: str) -> int:
        """Returns how often a credit ran at all upstreams together."""
        total = 0
        for port in self.ports:
            _, record = await call('GET', f'http://127.0.0.1:{port}/record')
            total += record['runs'].get(f'POST /credits {body}', 0)
        return total

    async def set_faults(self, **faults: Any) -> None:
        """Sets faults at all upstreams."""
        for port in self.ports:
            await call('POST', f'http://127.0.0.1:{port}/fault', json=faults)

    async def wait_for_run(self, body: str) -> None:
        """Waits until a credit has started to run."""
        for _ in poll_for(10):
            if await self.count_runs(body):
                return
        raise AssertionError(f'{body} did not run')


def run_scenario(tmp_path: Path, scenario: Any, entries: int = 3) -> None:
    """Runs a scenario on real processes in one zone."""
    ports = free_ports(UPSTREAMS)
    with Deployment(tmp_path, zones=ZONES, entries=entries) as running:
        for index, port in enumerate(ports):
            running.start_upstreams(f'kassa-{index}', [port])
        testbed = CreditTestbed(running, ports)

        async def run() -> None:
            await testbed.prepare()
            await scenario(testbed)

        asyncio.run(run())


def test_resends_join_the_one_run(tmp_path: Path) -> None:
    """Concurrent and later resends at all entries get the one answer."""

    async def scenario(testbed: CreditTestbed) -> None:
        names = list(testbed.running.instances)
        await testbed.set_faults(run_ms=300)
        for home in names:
            key = await testbed.make_key(home, '1')
            answers = await asyncio.gather(
                *(testbed.send_credit(name, key, home) for name in names * 2)
            )
            later = [
                await testbed.send_credit(name, key, home) for name in names
            ]
            assert {each[0] for each in (*answers, *later)} == {'answered'}
            assert {each[1]['run'] for each in (*answers, *later)} == {1}
            other = await testbed.send_credit(home, key, 'other')
            assert other[1] == {'outcome': 'not-run', 'reason': 'key-reused'}
            assert (
                await testbed.count_runs(home),
                await testbed.count_runs('other'),
            ) == (1, 0)

    run_scenario(tmp_path, scenario)


def test_lost_answers_are_unknown_for_every_resend(tmp_path: Path) -> None:
    """A credit whose answer is lost ran once, and its outcome is unknown."""

    async def scenario(testbed: CreditTestbed) -> None:
        home, other = list(testbed.running.instances)[:2]
        await testbed.set_faults(lose_answers=1)
        key = await testbed.make_key(home, '1')
        for name in (home, other, home):
            outcome, body = await testbed.send_credit(name, key, 'lost')
            assert (outcome, body['reason'])[0] == 'unknown', body
        await testbed.set_faults()
        assert (await testbed.send_credit(home, key, 'lost'))[0] == 'unknown'
        assert await testbed.count_runs('lost') == 1

    run_scenario(tmp_path, scenario)


def test_keys_of_a_killed_home_never_run_again(tmp_path: Path) -> None:
    """After SIGKILL of a home no instance runs its keys again.

    This includes the new incarnation at the same address.
    """

    async def scenario(testbed: CreditTestbed) -> None:
        home, other = list(testbed.running.instances)[:2]
        await testbed.set_faults(run_ms=1000)
        key = await testbed.make_key(home, '1')
        sent = asyncio.create_task(testbed.send_credit(home, key, 'killed'))
        await testbed.wait_for_run('killed')
        testbed.running.signal(home, signal.SIGKILL)
        testbed.running.wait(home)
        assert (await sent)[0] == 'no answer'
        outcome, body = await testbed.send_credit(other, key, 'killed', 500)
        assert (outcome, body['outcome']) == ('unknown', 'unknown')
        testbed.running.start_entry(home)
        for _ in poll_for(10):
            outcome, body = await testbed.send_credit(home, key, 'killed')
            if body['reason'] == 'home-gone':
                break
        assert (outcome, body['reason']) == ('unknown', 'home-gone')
        assert await testbed.count_runs('killed') == 1

    run_scenario(tmp_path, scenario)


def test_a_frozen_home_runs_nothing_twice(tmp_path: Path) -> None:
    """A home that is frozen past every timeout has run its key once."""

    async def scenario(testbed: CreditTestbed) -> None:
        home, other = list(testbed.running.instances)[:2]
        await testbed.set_faults(run_ms=300)
        key = await testbed.make_key(home, '1')
        sent = asyncio.create_task(testbed.send_credit(home, key, 'frozen'))
        await testbed.wait_for_run('frozen')
        testbed.running.signal(home, signal.SIGSTOP)
        outcome, _ = await testbed.send_credit(other, key, 'frozen', 500)
        assert outcome == 'unknown'
        new_result = await testbed.send_credit(
            other, await testbed.make_key(other, '2'), 'new'
        )
        testbed.running.signal(home, signal.SIGCONT)
        await sent
        assert (await testbed.send_credit(home, key, 'frozen'))[0] != 'not-run'
        assert await testbed.count_runs('frozen') == 1
        assert await testbed.count_runs('new') == (new_result[0] != 'not-run')

    run_scenario(tmp_path, scenario)


def test_a_cancelled_credit_runs_to_its_end(tmp_path: Path) -> None:
    """A resend after the caller disconnects gets the answer of the one run."""

    async def scenario(testbed: CreditTestbed) -> None:
        home, other = list(testbed.running.instances)[:2]
        await testbed.set_faults(run_ms=500)
        key = await testbed.make_key(home, '1')
        sent = asyncio.create_task(testbed.send_credit(other, key, 'cancelled'))
        await testbed.wait_for_run('cancelled')
        sent.cancel()
        outcome, body = await testbed.send_credit(other, key, 'cancelled')
        assert (outcome, body['run']) == ('answered', 1)

    run_scenario(tmp_path, scenario)


def test_client_outcomes_match_the_counted_runs(tmp_path: Path) -> None:
    """Credits of the client run at most once while an entry is killed.

    An answered credit ran exactly once, a not-run credit never.
    """

    async def scenario(testbed: CreditTestbed) -> None:
        instances = testbed.running.instances
        await testbed.set_faults(run_ms=20)
        async with Client(
            [instance.caller for instance in instances.values()]
        ) as client:

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
                    testbed.running.signal(
                        next(iter(instances)), signal.SIGKILL
                    )
            for task in sent:
                body, outcome = await task
                runs = await testbed.count_runs(body)
                assert runs <= 1, body
                assert outcome != 'answered' or runs == 1, body
                assert outcome != 'not-run' or runs == 0, body

    run_scenario(tmp_path, scenario)


def test_a_crashing_request_is_quarantined(tmp_path: Path) -> None:
    """A crashing request ends two upstreams, and one more with each trial.

    It is refused after that at all entries, also with new keys.
    """

    async def scenario(testbed: CreditTestbed) -> None:
        names = list(testbed.running.instances)
        for port in testbed.ports:
            await call(
                'POST',
                f'http://127.0.0.1:{port}/fault',
                json={'crash_on': 'poison', 'run_ms': 50},
            )
        good = [
            asyncio.create_task(
                testbed.send_credit(
                    name, await testbed.make_key(name, '1'), f'good {name}'
                )
            )
            for name in names
        ]
        for crashed in (3, 4):
            for number in range(9):
                name = names[number % 3]
                key = await testbed.make_key(name, f'2{crashed}{number}')
                outcome, body = await testbed.send_credit(name, key, 'poison')
            assert (outcome, body['reason']) == ('not-run', 'quarantined')
            running_upstreams = [
                name
                for name, process in testbed.running.processes.items()
                if name.startswith('kassa-') and process.poll() is None
            ]
            assert len(running_upstreams) == UPSTREAMS - crashed
            await asyncio.sleep(TRIAL_PAUSE_SECONDS)
        await asyncio.gather(*good)
        instance = testbed.running.instances[names[0]]
        url = f'http://{instance.admin}/v1/suspects'
        _, listed = await call('GET', url, headers=admin_headers())
        quarantined_now = [each for each in listed if each['quarantined']]
        assert [len(each['crashed']) for each in quarantined_now] == [4]
        for name in names:
            # At times a request finds only upstreams that are dead.
            for number, _ in enumerate(poll_for(10)):
                key = await testbed.make_key(name, f'3{number}')
                again = await testbed.send_credit(name, key, f'good {name}')
                if again[0] == 'answered':
                    break
                assert again[1]['reason'] == 'upstream-unreachable', again
            assert again[0] == 'answered', again
        _, cleared = await call('DELETE', url, headers=admin_headers())
        assert quarantined_now[0]['fingerprint'] in {
            each['fingerprint'] for each in cleared
        }

    run_scenario(tmp_path, scenario)


def test_a_planned_stop_hands_its_keys_over(tmp_path: Path) -> None:
    """After a planned stop, resends are answered and unused keys run once."""

    async def scenario(testbed: CreditTestbed) -> None:
        home, *others = testbed.running.instances
        done, fresh = (
            await testbed.make_key(home, '1'),
            await testbed.make_key(home, '2'),
        )
        late = await testbed.make_key(home, '3')
        await testbed.set_faults(run_ms=300)
        assert (await testbed.send_credit(home, done, 'done'))[0] == 'answered'
        testbed.running.signal(home, signal.SIGTERM)
        sent = [
            asyncio.create_task(testbed.send_credit(name, fresh, 'fresh'))
            for name in (home, *others)
        ]
        assert {(await each)[0] for each in sent} == {'answered'}
        assert await asyncio.to_thread(testbed.running.wait, home) == 0
        for name in others:
            for key, body in ((done, 'done'), (fresh, 'fresh'), (late, 'late')):
                outcome, answer = await testbed.send_credit(name, key, body)
                assert (outcome, answer['run']) == ('answered', 1)

    run_scenario(tmp_path, scenario)
