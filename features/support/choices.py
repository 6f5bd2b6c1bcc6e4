"""Prompts, and lists of instances, for choices that gateways make."""

from honeyport.policy import prefixes
from honeyport.wire import honeyport_pb2 as pb

SERVICE = 'llm'


def prompt(subject):
    """Return the parts of a prompt."""
    return (
        prefixes.Part('lead', 2500),
        prefixes.Part(subject, 6000),
        prefixes.Part('own', 500),
    )


def listed(domains, number=1):
    """Return a list of instances, each at a place of its own.

    :param domains: the failure domain of each instance, by name
    :param number: of the list
    """
    made = pb.Instances(number=number)
    for name, domain in domains.items():
        made.instances.add(
            id=name,
            service=SERVICE,
            address=name,
            domain=domain,
            slots=64,
            place=name,
        )
    return made
