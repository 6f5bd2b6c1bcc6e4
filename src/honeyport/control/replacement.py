"""Whole configurations from an operator who does not sign them.

The highest version is in force. What is in force, or was overtaken, is
acknowledged again and changes nothing, so an operator whose answer was
lost may send the same to any replica as often as it likes.
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
    """Takes and shows whole configurations on one control replica."""

    def __init__(self, node: replica.Replica) -> None:
        self._node = node

    async def replace(self, bundle: model.Bundle, document: bytes) -> None:
        """Return once a configuration is committed, or was overtaken.

        :param bundle: what it says, checked
        :param document: the text that it came as
        :raises errors.NotLeader: if another replica has to be asked
        :raises errors.CommitUnknown: if nobody knows whether it is in force
        """
        self._check_leads()
        version = bundle.version
        held = self._node.machine.accepted.version
        if version <= held:
            logs.emit(events.REPLACEMENT_OVERTAKEN, version=version, has=held)
            return
        entries = bundle_entries.to_entries(bundle)
        await self._node.propose(
            pb.ReplaceBundle(
                version=version,
                entries=packed.pack_snapshot(entries),
                document=zlib.compress(document),
            )
        )
        logs.emit(
            events.BUNDLE_ACCEPTED,
            version=version,
            digest=self._node.machine.history.get(version, ''),
            term=self._node.term,
        )

    def read(self) -> bytes:
        """Return the newest configuration, as it was sent.

        The lease of the leader makes sure that there is no newer one.

        :raises errors.NotLeader: if another replica has to be asked
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
