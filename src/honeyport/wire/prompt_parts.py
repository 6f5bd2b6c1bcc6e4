"""Messages about prompt parts that may crash instances."""

import collections.abc

from honeyport.policy import traits
from honeyport.wire import honeyport_pb2 as pb


def to_prompts(
    requests: collections.abc.Iterable[traits.Traits],
) -> list[pb.Prompt]:
    """Return the messages for requests."""
    return [
        pb.Prompt(
            request=bytes.fromhex(request.fingerprint),
            service=request.service,
            account=request.account,
            parts=request.parts,
        )
        for request in requests
    ]


def from_prompt(prompt: pb.Prompt) -> traits.Traits:
    """Return the request that a message describes."""
    return traits.Traits(
        prompt.request.hex(),
        prompt.service,
        prompt.account,
        tuple(prompt.parts),
    )


def to_part_set(part_set: traits.PartSet | None) -> pb.PartSet | None:
    """Return the message for a set of requests; ``None`` for no set."""
    if part_set is None:
        return None
    return pb.PartSet(service=part_set.service, parts=part_set.parts)


def part_set_of(
    message: pb.Suspect | pb.SuspectRecord,
) -> traits.PartSet | None:
    """Return the set of requests that a suspect is; ``None`` if it is one."""
    if not message.HasField('set'):
        return None
    return traits.PartSet(
        service=message.set.service, parts=tuple(message.set.parts)
    )
