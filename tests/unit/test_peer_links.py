"""Links answer, refuse and end, whatever the other end sends."""

import asyncio
import contextlib
import random
import socket
import threading
import time
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import pytest

from lycheedyke.exceptions import (
    ConnectionRefusedByHost,
    ExchangeBroken,
    ExchangeTimeout,
    MessageRejected,
)
from lycheedyke.protocol import Heartbeat, MessageCodec
from lycheedyke.transport import PeerLink, PeerListener
from standins.deployment import free_ports

SOON = timedelta(milliseconds=300)
LONG = timedelta(seconds=10)
CODEC = MessageCodec(b'a secret of this test')
FUZZ_ROUNDS = 200


async def _echo(message: bytes) -> bytes | None:
    match message:
        case b'none':
            return None
        case b'fault':
            raise ValueError(message)
        case b'hang':
            await asyncio.sleep(3600)
    return message


def _run(test: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(test, 60))


def _address() -> str:
    return f'127.0.0.1:{free_ports(1)[0]}'


def test_unanswered_requests_do_not_stop_the_others() -> None:
    """Requests without a reply time out; later ones are answered."""

    async def ask_all() -> None:
        address = _address()
        listener, link = PeerListener(address, _echo), PeerLink(address)
        with pytest.raises(ConnectionRefusedByHost):
            await link.request(b'early', timeout=LONG)
        listener.open()
        for message in (b'none', b'fault') * 8:
            with pytest.raises(ExchangeTimeout):
                await link.request(message, timeout=SOON / 10)
        asked = [PeerLink(address).request(b'hang', timeout=SOON)]
        asked += [link.request(b'%d' % each, timeout=LONG) for each in range(9)]
        found = await asyncio.gather(*asked, return_exceptions=True)
        assert found[1:] == [b'%d' % each for each in range(9)]
        await listener.close()
        # The loss may be seen before the request is sent, or by it.
        with pytest.raises((ExchangeBroken, ConnectionRefusedByHost)):
            await link.request(b'lost', timeout=LONG)
        with pytest.raises(ConnectionRefusedByHost):
            await link.request(b'late', timeout=LONG)
        again = PeerListener(address, _echo)
        again.open()
        assert await link.request(b'again', timeout=LONG) == b'again'
        await again.close()
        link.close()

    _run(ask_all())


def _block_until(answered: threading.Event) -> None:
    # The event loop must not run between the reply and the cancellation.
    answered.wait(10)
    time.sleep(0.1)


def test_cancellation_is_not_lost_to_an_arriving_reply() -> None:
    """A cancelled request ends cancelled, though its reply has come."""
    address, answered, ended = _address(), threading.Event(), threading.Event()

    async def serve() -> None:
        async def answer(message: bytes) -> bytes:
            answered.set()
            return message

        listener = PeerListener(address, answer)
        listener.open()
        await asyncio.to_thread(ended.wait)
        await listener.close()

    async def cancel_late() -> None:
        link = PeerLink(address)
        await link.request(b'connect', timeout=LONG)
        answered.clear()
        task = asyncio.create_task(link.request(b'cancel', timeout=LONG))
        await asyncio.sleep(0)
        _block_until(answered)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        link.close()

    thread = threading.Thread(target=lambda: asyncio.run(serve()))
    thread.start()
    try:
        _run(cancel_late())
    finally:
        ended.set()
        thread.join()


def test_bad_bytes_cost_only_their_sender() -> None:
    """Raw garbage and garbled frames leave the listener answering."""
    chaos = random.Random(6)
    handshake = b'\0SP\0\0\x30\0\0'

    def garble() -> bytes:
        size = chaos.choice([0, 1, 7, 8, 64, 4096])
        garbage = chaos.randbytes(size)
        length = chaos.choice([size, 0, 2**20 + 1, 2**63, 2**64 - 1])
        frame = length.to_bytes(8, 'big') + garbage
        return chaos.choice([garbage, handshake + frame, handshake[:4]])

    def attack(port: int) -> None:
        for _ in range(FUZZ_ROUNDS):
            with socket.create_connection(('127.0.0.1', port)) as raw:
                raw.settimeout(5)
                try:
                    raw.sendall(garble())
                    raw.shutdown(socket.SHUT_WR)
                except OSError:
                    continue

    async def survive() -> None:
        address = _address()
        listener, link = PeerListener(address, _echo), PeerLink(address)
        listener.open()
        await link.request(b'before', timeout=LONG)
        await asyncio.to_thread(attack, int(address.rpartition(':')[2]))
        assert await link.request(b'after', timeout=LONG) == b'after'
        newcomer = PeerLink(address)
        assert await newcomer.request(b'new', timeout=LONG) == b'new'
        for each in (link, newcomer):
            each.close()
        await listener.close()

    _run(survive())


@pytest.mark.parametrize('reason', ['oversized', 'version', 'signature'])
def test_bad_messages_are_rejected_with_a_reason(reason: str) -> None:
    """Each kind of bad message raises its own reason."""
    good = CODEC.encode_control_message(
        Heartbeat(incarnation='one', sequence=1)
    )
    bad = {
        'oversized': good + bytes(2**20),
        'version': b'\x02' + good[1:],
        'signature': good[:-1] + bytes([good[-1] ^ 1]),
    }
    with pytest.raises(MessageRejected) as found:
        CODEC.decode_control_message(bad[reason])
    assert found.value.reason == reason


def test_signed_garbage_is_rejected_as_malformed() -> None:
    """A signed message of any other form never raises anything else."""
    chaos = random.Random(6)
    good = CODEC.encode_control_message(
        Heartbeat(incarnation='one', sequence=1)
    )
    for _ in range(FUZZ_ROUNDS * 10):
        payload = bytearray(good[17:] + chaos.randbytes(8))
        for _ in range(chaos.randrange(1, 9)):
            payload[chaos.randrange(len(payload))] = chaos.randrange(256)
        signed = CODEC._sign(bytes(payload))
        try:
            CODEC.decode_control_message(b'\x01' + signed + payload)
        except MessageRejected as error:
            assert error.reason == 'form'


class _StuckLink(PeerLink):
    """A link whose first operations ignore cancellation, as the library may."""

    stuck = 4
    released = False

    async def _ask(self, message: bytes) -> bytes:
        if not self.stuck:
            return await super()._ask(message)
        self.stuck -= 1
        while not self.released:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(SOON.total_seconds())
        return b''


def test_an_operation_that_never_ends_holds_nothing_up() -> None:
    """Requests end in time, and the link goes on, though operations hang."""

    async def ask_all() -> None:
        address = _address()
        listener, link = PeerListener(address, _echo), _StuckLink(address)
        listener.open()
        for _ in range(_StuckLink.stuck):
            with pytest.raises(ExchangeTimeout):
                await link.request(b'stuck', timeout=SOON)
        assert await link.request(b'again', timeout=LONG) == b'again'
        link.released = True
        link.close()
        await listener.close()

    _run(ask_all())
