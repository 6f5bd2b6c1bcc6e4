"""Prompts, and lists of instances, for choices that gateways make."""

from honeyport.gateway import balancer
from honeyport.gateway import headers
from honeyport.gateway import instance_signals
from honeyport.policy import prefixes
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

SERVICE = 'llm'


def make_balancer(name, domain, regions):
    """Return the choice of a gateway of which no instance asked anything."""
    asked = instance_signals.InstanceSignals(
        headers.HeaderNames(), metrics.Metrics()
    )
    return balancer.Balancer(name, domain, regions, asked)


def prompt_parts(subject):
    """Return the parts of a prompt."""
    return (
        prefixes.Part('lead', 2500),
        prefixes.Part(subject, 6000),
        prefixes.Part('own', 500),
    )


def instance_list(domains, number=1):
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
