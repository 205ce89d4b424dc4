"""Tests of peer links with failing peers, bad messages and cancellation."""

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

SHORT_TIMEOUT = timedelta(milliseconds=300)
LONG_TIMEOUT = timedelta(seconds=10)
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
    """Requests without a reply time out; later requests get replies."""

    async def send_requests() -> None:
        address = _address()
        listener, link = PeerListener(address, _echo), PeerLink(address)
        with pytest.raises(ConnectionRefusedByHost):
            await link.request(b'early', timeout=LONG_TIMEOUT)
        listener.open()
        for message in (b'none', b'fault') * 8:
            with pytest.raises(ExchangeTimeout):
                await link.request(message, timeout=SHORT_TIMEOUT / 10)
        requests = [PeerLink(address).request(b'hang', timeout=SHORT_TIMEOUT)]
        requests += [
            link.request(b'%d' % each, timeout=LONG_TIMEOUT)
            for each in range(9)
        ]
        results = await asyncio.gather(*requests, return_exceptions=True)
        assert results[1:] == [b'%d' % each for each in range(9)]
        await listener.close()
        # The closed connection may be noticed before or after sending.
        with pytest.raises((ExchangeBroken, ConnectionRefusedByHost)):
            await link.request(b'lost', timeout=LONG_TIMEOUT)
        with pytest.raises(ConnectionRefusedByHost):
            await link.request(b'late', timeout=LONG_TIMEOUT)
        restarted = PeerListener(address, _echo)
        restarted.open()
        assert await link.request(b'again', timeout=LONG_TIMEOUT) == b'again'
        await restarted.close()
        link.close()

    _run(send_requests())


def _block_until(answered: threading.Event) -> None:
    # Blocks the event loop, which must not run between the arrival of the
    # reply and the cancellation.
    answered.wait(10)
    time.sleep(0.1)


def test_cancellation_is_not_lost_to_an_arriving_reply() -> None:
    """A request that is cancelled as its reply arrives ends as cancelled.

    pynng ignores a cancellation if the operation ends just before.
    """
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
        await link.request(b'connect', timeout=LONG_TIMEOUT)
        answered.clear()
        task = asyncio.create_task(
            link.request(b'cancel', timeout=LONG_TIMEOUT)
        )
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
    """Random bytes and bad frames do not stop the listener for other peers."""
    rng = random.Random(6)
    handshake = b'\0SP\0\0\x30\0\0'

    def garble() -> bytes:
        size = rng.choice([0, 1, 7, 8, 64, 4096])
        garbage = rng.randbytes(size)
        length = rng.choice([size, 0, 2**20 + 1, 2**63, 2**64 - 1])
        frame = length.to_bytes(8, 'big') + garbage
        return rng.choice([garbage, handshake + frame, handshake[:4]])

    def send_garbage(port: int) -> None:
        for _ in range(FUZZ_ROUNDS):
            with socket.create_connection(('127.0.0.1', port)) as raw:
                raw.settimeout(5)
                try:
                    raw.sendall(garble())
                    raw.shutdown(socket.SHUT_WR)
                except OSError:
                    continue

    async def check_listener() -> None:
        address = _address()
        listener, link = PeerListener(address, _echo), PeerLink(address)
        listener.open()
        await link.request(b'before', timeout=LONG_TIMEOUT)
        await asyncio.to_thread(send_garbage, int(address.rpartition(':')[2]))
        assert await link.request(b'after', timeout=LONG_TIMEOUT) == b'after'
        new_link = PeerLink(address)
        assert await new_link.request(b'new', timeout=LONG_TIMEOUT) == b'new'
        for each in (link, new_link):
            each.close()
        await listener.close()

    _run(check_listener())


@pytest.mark.parametrize('reason', ['oversized', 'version', 'signature'])
def test_bad_messages_are_rejected_with_a_reason(reason: str) -> None:
    """Each kind of invalid message is rejected with its own reason."""
    good = CODEC.encode_control_message(
        Heartbeat(incarnation='one', sequence=1)
    )
    bad = {
        'oversized': good + bytes(2**20),
        'version': b'\x02' + good[1:],
        'signature': good[:-1] + bytes([good[-1] ^ 1]),
    }
    with pytest.raises(MessageRejected) as caught:
        CODEC.decode_control_message(bad[reason])
    assert caught.value.reason == reason


def test_signed_garbage_is_rejected_as_malformed() -> None:
    """A signed but malformed message raises no error but MessageRejected."""
    rng = random.Random(6)
    good = CODEC.encode_control_message(
        Heartbeat(incarnation='one', sequence=1)
    )
    for _ in range(FUZZ_ROUNDS * 10):
        payload = bytearray(good[17:] + rng.randbytes(8))
        for _ in range(rng.randrange(1, 9)):
            payload[rng.randrange(len(payload))] = rng.randrange(256)
        signed = CODEC._sign(bytes(payload))
        try:
            CODEC.decode_control_message(b'\x01' + signed + payload)
        except MessageRejected as error:
            assert error.reason == 'form'


class _StuckLink(PeerLink):
    """A link whose first operations ignore cancellation, as in pynng."""

    stuck_count = 4
    released = False

    async def _request(self, message: bytes) -> bytes:
        if not self.stuck_count:
            return await super()._request(message)
        self.stuck_count -= 1
        while not self.released:
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(SHORT_TIMEOUT.total_seconds())
        return b''


def test_an_operation_that_never_ends_holds_nothing_up() -> None:
    """Requests time out and the link stays usable while operations hang."""

    async def send_requests() -> None:
        address = _address()
        listener, link = PeerListener(address, _echo), _StuckLink(address)
        listener.open()
        for _ in range(_StuckLink.stuck_count):
            with pytest.raises(ExchangeTimeout):
                await link.request(b'stuck', timeout=SHORT_TIMEOUT)
        assert await link.request(b'again', timeout=LONG_TIMEOUT) == b'again'
        link.released = True
        link.close()
        await listener.close()

    _run(send_requests())
