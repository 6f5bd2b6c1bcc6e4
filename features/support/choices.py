"""Balancers, prompts and instance lists for tests."""

from honeyport.gateway import balancer
from honeyport.gateway import headers
from honeyport.gateway import instance_signals
from honeyport.policy import prefixes
from honeyport.telemetry import metrics
from honeyport.wire import honeyport_pb2 as pb

SERVICE = 'llm'


def make_balancer(name, domain, regions):
    """Return a balancer without signals from instances."""
    signals = instance_signals.InstanceSignals(
        headers.HeaderNames(), metrics.Metrics()
    )
    return balancer.Balancer(name, domain, regions, signals)


def prompt_parts(subject):
    """Return prompt parts of which the middle one is a subject."""
    return (
        prefixes.Part('lead', 2500),
        prefixes.Part(subject, 6000),
        prefixes.Part('own', 500),
    )


def instance_list(domains, number=1):
    """Return a list of instances, each with its own place.

    :param domains: failure domain of each instance, by instance id
    :param number: number of the list
    """
    instances = pb.Instances(number=number)
    for name, domain in domains.items():
        instances.instances.add(
            id=name,
            service=SERVICE,
            address=name,
            domain=domain,
            slots=64,
            place=name,
        )
    return instances
