"""The operator of a soak: changes, repetitions, races and reads."""

import asyncio
import json
import typing

from features.support import platform
from soak import records as soak_records
from soak import site as soak_site

_CONTROL = 2  # which of a node's ports takes operators' calls
_PAUSE_S = 1.2  # between two changes
_READ_PAUSE_S = 0.5
_TRIES = 12
_TRY_PAUSE_S = 0.2
_VALID = 200
_INVALID = 400


class Operator:
    """Sends configurations until they are acknowledged."""

    def __init__(self, site: soak_site.Site) -> None:
        self._site = site
        self._version = 0

    async def run(self) -> None:
        """Change the configuration now and then."""
        while True:
            await self.change()
            await asyncio.sleep(_PAUSE_S * self._site.chance.uniform(0.3, 1.7))

    async def watch(self) -> None:
        """Read the configuration now and then, from any node."""
        while True:
            node = self._site.chance.choice(self._site.nodes)
            at = asyncio.get_running_loop().time()
            status, text = await self._read(node)
            if status == _VALID:
                self._site.found.reads.append((at, node.name, text))
            await asyncio.sleep(_READ_PAUSE_S)

    async def change(self, salt: int = 0, version: int = 0) -> None:
        """Send a new version, or other content under one."""
        if not version:
            self._version += self._site.chance.randint(1, 3)
            version = self._version
        tree = self._site.configuration(version, salt)
        text = json.dumps(tree).encode()
        self._site.found.sent[version].append(text)
        for _ in range(_TRIES):
            node = self._site.chance.choice(self._site.nodes)
            status = await self._send(node, tree)
            if status == _VALID:
                self._accept(version)
                return
            if status == _INVALID:
                self._site.found.note(f'valid version {version} was refused')
                return
            await asyncio.sleep(_TRY_PAUSE_S)

    async def race(self) -> None:
        """Send two contents of one version at the same time."""
        self._version += 1
        version = self._version
        await asyncio.gather(self.change(1, version), self.change(2, version))

    async def send_invalid(self) -> None:
        """Send what names an unknown service."""
        tree = self._site.configuration(self._version + 1000, 0)
        tree['routes'][0]['service'] = 'nowhere'
        node = self._site.chance.choice(self._site.nodes)
        if await self._send(node, tree) == _VALID:
            self._site.found.note('an invalid configuration was accepted')

    async def read_at_the_end(self) -> None:
        """Read the configuration from whoever answers."""
        for _ in range(_TRIES):
            for node in self._site.nodes:
                status, text = await self._read(node)
                if status == _VALID:
                    self._site.found.final_read = text
                    return
            await asyncio.sleep(_TRY_PAUSE_S)

    async def _send(
        self, node: platform.Node, tree: dict[str, typing.Any]
    ) -> int:
        status, _ = await self._site.request(
            node, _CONTROL, '/api/configuration/replace', tree
        )
        return status

    async def _read(self, node: platform.Node) -> tuple[int, bytes]:
        return await self._site.request(
            node, _CONTROL, '/api/configuration/read'
        )

    def _accept(self, version: int) -> None:
        self._site.found.accepted.append(
            soak_records.Accepted(
                version,
                frozenset((soak_site.MAIN_KEY, f'key-{version}')),
                asyncio.get_running_loop().time(),
            )
        )
