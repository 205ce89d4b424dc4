"""Which headers of callers reach upstreams."""

from pathlib import Path

from standins.gateway_testbed import GatewayTestbed, run_scenario


# Guards against callers whose own header makes sound upstreams answer 421.
def test_callers_name_no_upstream(tmp_path: Path) -> None:
    """Upstreams get the header of the instance only."""

    async def _scene(testbed: GatewayTestbed) -> None:
        address = testbed.settings[0].caller_address
        for at in range(5):
            reply = await testbed.send_to(
                address,
                '/read/1',
                {
                    'Host': 'shop.example',
                    'Lycheedyke-Request-Id': f'x-{at}',
                    'Lycheedyke-Deadline-Ms': '1000',
                    'Lycheedyke-Expect-Instance': 'another',
                },
            )
            assert reply.status == 200
        for state in testbed.instances[0]._upstream_table.all():
            assert not state.is_lost

    run_scenario(tmp_path, _scene)
