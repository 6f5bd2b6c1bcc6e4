"""A stub of a leading control replica, for tests of router streams."""

from honeyport.control import journal
from honeyport.control import machine
from honeyport.control import membership
from honeyport.control import replica
from honeyport.wire import honeyport_pb2 as pb

_REPLICA_COUNT = 5


class LeaderStub:
    """Stub of a replica that is leader from the start.

    :param entries: length of the log; its first entry holds the members
    """

    role = replica.LEADER
    term = 1
    leader_since = -100.0

    def __init__(self, entries: int = 1) -> None:
        self.machine = machine.Machine()
        self.address_reads = 0
        self._journal = journal.Journal()
        for number in range(1, entries + 1):
            self._journal.append(_entry(number))

    @property
    def members(self) -> pb.Members:
        """The latest members in the log."""
        members = self._journal.members()
        assert members is not None
        return members

    @property
    def member_addresses(self) -> list[str]:
        """Listen addresses of the members; counts the reads."""
        self.address_reads += 1
        return [member.address for member in self.members.replicas]

    @property
    def leads(self) -> bool:
        """Whether a quorum has answered; always true."""
        contact_times = {member.name: 1.0 for member in self.members.replicas}
        return membership.quorum_value(self.members, contact_times) > 0


def hello(number: int) -> pb.Hello:
    """Return the hello message of a router."""
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
    for replica_number in range(_REPLICA_COUNT):
        entry.members.replicas.add(
            name=f'10.1.{replica_number}.1:7000',
            address=f'10.1.{replica_number}.1:7000',
            voter=True,
            disk='d',
        )
    return entry
