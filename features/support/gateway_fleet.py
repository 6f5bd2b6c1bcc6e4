"""Several gateways in this process, in front of the same instances."""

import asyncio

from features.steps import gateway_steps
from honeyport.policy import versions
from honeyport.wire import honeyport_pb2 as pb

DOMAINS = ('thu-duc', 'tan-binh', 'binh-chanh')
# Stands for the longest time in which a stream is taken up again.
WINDOW_S = 0.2


class Fleet:
    """Gateways that know each other and have the same instances.

    :param options: further arguments of each gateway's fixture
    """

    def __init__(self, number_of_gateways, steps, **options):
        self.gateways = {
            f'g-{number}': gateway_steps.GatewayFixture(
                steps, name=f'g-{number}', **options
            )
            for number in range(1, number_of_gateways + 1)
        }
        self.first = self.gateways['g-1']
        self.script = self.first.script
        self.stopped = set()

    async def start(self, kind):
        await self.first.start(kind)
        for fixture in self._others():
            fixture.instances = self.first.instances
            fixture.address_by_instance = self.first.address_by_instance
            await fixture.gateway.start(fixture.tree)
            fixture.make_ready(kind)
        self.list_gateways()

    def list_gateways(self):
        presence = pb.Presence()
        for number, fixture in enumerate(self.gateways.values()):
            presence.members.add(
                router=fixture.name,
                domain=DOMAINS[number % len(DOMAINS)],
                address=fixture.address,
                peer_address=fixture.peer_address,
            )
        for fixture in self.gateways.values():
            fixture.gateway.state.apply_presence(presence)

    def _others(self):
        return [
            fixture
            for fixture in self.gateways.values()
            if fixture is not self.first
        ]

    async def apply_versions(self, names, but=''):
        for instance, version in zip(self.first.instances, names, strict=True):
            instance.version = version
        for fixture in self.gateways.values():
            if fixture.name != but:
                fixture.apply_instances()

    async def shorten_history(self):
        """Let the lists have shown one version for the whole window."""
        for fixture in self.gateways.values():
            streams = fixture.gateway._streams
            streams._history = versions.VersionHistory(WINDOW_S)
            fixture.gateway.apply_state()
        await asyncio.sleep(WINDOW_S)
        for fixture in self.gateways.values():
            fixture.gateway.apply_state()

    async def stop_gateway(self, name):
        self.stopped.add(name)
        await self.gateways[name].tree.stop()

    async def kill(self, name):
        """Stop a gateway that can do nothing before its end."""
        self.gateways[name].gateway._streams.hand_over = lambda: None
        await self.stop_gateway(name)

    async def stop(self):
        for name, fixture in self.gateways.items():
            if name not in self.stopped:
                await fixture.tree.stop()
        for instance in self.first.instances:
            await instance.stop()
