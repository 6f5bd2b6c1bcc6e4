"""A control replica that leads, as far as routers' streams see it."""

from honeyport.control import journal
from honeyport.control import machine
from honeyport.control import membership
from honeyport.control import replica
from honeyport.wire import honeyport_pb2 as pb

_REPLICAS = 5


class LeaderStub:
    """Leads from the first moment on, with a log of some length.

    :param entries: how many the log has; the members are in the first one
    """

    role = replica.LEADER
    term = 1
    leader_since = -100.0

    def __init__(self, entries: int = 1) -> None:
        self.machine = machine.Machine()
        self.asked = 0
        self._journal = journal.Journal()
        for number in range(1, entries + 1):
            self._journal.append(_entry(number))

    @property
    def members(self) -> pb.Members:
        """The members, as the log has them."""
        found = self._journal.members()
        assert found is not None
        return found

    @property
    def member_addresses(self) -> list[str]:
        """Where the members listen; counts how often it is asked."""
        self.asked += 1
        return [member.address for member in self.members.replicas]

    @property
    def leads(self) -> bool:
        """Whether a quorum was heard: all were."""
        heard = {member.name: 1.0 for member in self.members.replicas}
        return membership.quorum_value(self.members, heard) > 0


def hello(number: int) -> pb.Hello:
    """Return how a router introduces itself."""
    return pb.Hello(
        router=f'router-{number}',
        incarnation='0123456789ab',
        domain='thu-duc',
        address=f'10.2.{number // 250}.{number % 250}:8080',
        peer_address=f'10.2.{number // 250}.{number % 250}:9090',
    )


def _entry(number: int) -> pb.Entry:
    entry = pb.Entry(index=number, term=1)
    if number > 1:
        entry.routers.put[f'router-{number}'] = '10.2.0.1:7000'
        return entry
    for one in range(_REPLICAS):
        entry.members.replicas.add(
            name=f'10.1.{one}.1:7000',
            address=f'10.1.{one}.1:7000',
            voter=True,
            disk='d',
        )
    return entry
