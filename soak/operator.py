"""The operator of a soak: changes and reads the configuration."""

import asyncio
import json
import typing

from features.support import platform
from soak import records as soak_records
from soak import site as soak_site

_CONTROL_PORT = 2  # index among the ports of a node
_CHANGE_INTERVAL_S = 1.2  # mean
_READ_INTERVAL_S = 0.5
_MAX_ATTEMPTS = 12
_RETRY_INTERVAL_S = 0.2
_OK = 200
_BAD_REQUEST = 400


class Operator:
    """Sends configurations to random nodes until one acknowledges."""

    def __init__(self, site: soak_site.Site) -> None:
        self._site = site
        self._version = 0

    async def run_changes(self) -> None:
        """Change the configuration at random intervals until cancelled."""
        while True:
            await self.change()
            await asyncio.sleep(
                _CHANGE_INTERVAL_S * self._site.rng.uniform(0.3, 1.7)
            )

    async def run_reads(self) -> None:
        """Read the configuration from random nodes until cancelled."""
        while True:
            node = self._site.rng.choice(self._site.nodes)
            read_at = asyncio.get_running_loop().time()
            status, text = await self._read(node)
            if status == _OK:
                self._site.records.configuration_reads.append(
                    (read_at, node.name, text)
                )
            await asyncio.sleep(_READ_INTERVAL_S)

    async def change(self, salt: int = 0, version: int = 0) -> None:
        """Send a configuration until it is acknowledged or refused.

        :param salt: distinguishes two contents of the same version
        :param version: the version to send; 0 takes a new one
        """
        if not version:
            self._version += self._site.rng.randint(1, 3)
            version = self._version
        configuration = self._site.make_configuration(version, salt)
        text = json.dumps(configuration).encode()
        self._site.records.sent_configurations[version].append(text)
        for _ in range(_MAX_ATTEMPTS):
            node = self._site.rng.choice(self._site.nodes)
            status = await self._send(node, configuration)
            if status == _OK:
                self._record_accepted(version)
                return
            if status == _BAD_REQUEST:
                self._site.records.add_violation(
                    f'valid version {version} was refused'
                )
                return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def send_conflicting(self) -> None:
        """Send two contents of the same version concurrently."""
        self._version += 1
        version = self._version
        await asyncio.gather(self.change(1, version), self.change(2, version))

    async def send_invalid(self) -> None:
        """Send a configuration that refers to an unknown service."""
        configuration = self._site.make_configuration(self._version + 1000, 0)
        configuration['routes'][0]['service'] = 'nowhere'
        node = self._site.rng.choice(self._site.nodes)
        if await self._send(node, configuration) == _OK:
            self._site.records.add_violation(
                'an invalid configuration was accepted'
            )

    async def read_final_configuration(self) -> None:
        """Record the configuration of the first node that returns it."""
        for _ in range(_MAX_ATTEMPTS):
            for node in self._site.nodes:
                status, text = await self._read(node)
                if status == _OK:
                    self._site.records.final_configuration = text
                    return
            await asyncio.sleep(_RETRY_INTERVAL_S)

    async def _send(
        self, node: platform.Node, configuration: dict[str, typing.Any]
    ) -> int:
        status, _ = await self._site.request(
            node, _CONTROL_PORT, '/api/configuration/replace', configuration
        )
        return status

    async def _read(self, node: platform.Node) -> tuple[int, bytes]:
        return await self._site.request(
            node, _CONTROL_PORT, '/api/configuration/read'
        )

    def _record_accepted(self, version: int) -> None:
        self._site.records.accepted.append(
            soak_records.AcceptedConfiguration(
                version,
                frozenset((soak_site.MAIN_KEY, f'key-{version}')),
                asyncio.get_running_loop().time(),
            )
        )
