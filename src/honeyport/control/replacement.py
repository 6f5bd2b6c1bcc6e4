"""Unsigned whole configurations, as sent by the platform's operator.

The highest version is in force. The version in force and older ones are
acknowledged without effect, so that an operator may retry at any replica.
"""

import zlib

from honeyport.bundle import entries as bundle_entries
from honeyport.bundle import model
from honeyport.bundle import packed
from honeyport.control import replica
from honeyport import errors
from honeyport.telemetry import events
from honeyport.telemetry import log as logs
from honeyport.wire import honeyport_pb2 as pb


class Replacements:
    """Commits and returns whole configurations on one control replica."""

    def __init__(self, node: replica.Replica) -> None:
        self._node = node

    async def replace(self, bundle: model.Bundle, document: bytes) -> None:
        """Commit a configuration, unless its version is not newer.

        :param bundle: the configuration, validated
        :param document: its text, as it was received
        :raises errors.NotLeader: if another replica leads
        :raises errors.CommitUnknown: if the commit's outcome is unknown
        """
        self._check_leads()
        version = bundle.version
        accepted_version = self._node.machine.accepted.version
        if version <= accepted_version:
            logs.emit(
                events.REPLACEMENT_OVERTAKEN,
                version=version,
                has=accepted_version,
            )
            return
        entries = bundle_entries.to_entries(bundle)
        command = pb.ReplaceBundle(
            version=version,
            entries=packed.pack_snapshot(entries),
            document=zlib.compress(document),
        )
        logs.emit(
            events.REPLACEMENT_PROPOSED,
            version=version,
            bytes=command.ByteSize(),
            term=self._node.term,
            commit=self._node.commit,
        )
        await self._node.propose(command)
        logs.emit(
            events.BUNDLE_ACCEPTED,
            version=version,
            digest=self._node.machine.history.get(version, ''),
            term=self._node.term,
        )

    def read(self) -> bytes:
        """Return the text of the newest configuration.

        The leader's lease guarantees that there is no newer one.

        :raises errors.NotLeader: if another replica leads
        :raises errors.NotReady: before the first configuration
        """
        self._check_leads()
        accepted = self._node.machine.accepted
        if not accepted.document:
            raise errors.NotReady('no configuration yet', retry_after=1.0)
        return zlib.decompress(accepted.document)

    def _check_leads(self) -> None:
        if not self._node.leads:
            raise errors.NotLeader(leader=self._node.leader_address)
