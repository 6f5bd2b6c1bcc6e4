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
        self._steps = steps
        self._options = options
        self.gateways = {
            name: self._make(name)
            for name in (f'g-{n}' for n in range(1, number_of_gateways + 1))
        }
        self.first = self.gateways['g-1']
        self.script = self.first.script
        self.instances = self.first.instances
        self.stopped = set()

    def _make(self, name):
        return gateway_steps.GatewayFixture(
            self._steps, name=name, **self._options
        )

    async def start(self, kind):
        self.kind = kind
        await self.first.start(kind)
        for fixture in self._others():
            await self._start_beside(fixture)
        self.list_gateways()

    async def _start_beside(self, fixture):
        """Start a gateway in front of the instances that run."""
        fixture.instances = self.instances
        fixture.address_by_instance = self.first.address_by_instance
        await fixture.gateway.start(fixture.tree)
        fixture.make_ready(self.kind)

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

    async def apply_versions(self, names, but='', only=''):
        for instance, version in zip(self.instances, names, strict=True):
            instance.version = version
        for fixture in self.gateways.values():
            if fixture.name != but and only in ('', fixture.name):
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

    async def restart(self, names, recorded=()):
        """Start processes for gateways that were killed.

        :param recorded: the software versions that control has on record
        """
        latest = max(fixture.list_number for fixture in self.gateways.values())
        for name in names:
            fixture = self.gateways[name] = self._make(name)
            fixture.list_number = latest
            fixture.recorded = recorded
            self.stopped.discard(name)
            await self._start_beside(fixture)
        self.list_gateways()

    async def stop(self):
        for name, fixture in self.gateways.items():
            if name not in self.stopped:
                await fixture.tree.stop()
        for instance in self.instances:
            await instance.stop()
