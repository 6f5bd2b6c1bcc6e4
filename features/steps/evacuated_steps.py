"""Steps for the evacuated failure domains of the replicated state."""

import behave

from honeyport.control import machine
from honeyport.wire import honeyport_pb2 as pb


@behave.given('a replicated state in which {domains} are evacuated')
def step_state(context, domains):
    context.machine = machine.Machine()
    _apply(context.machine, begun=domains.split(', '))


@behave.when('it is restored from its snapshot')
def step_restored(context):
    snapshot = context.machine.save().SerializeToString()
    context.machine = machine.Machine()
    context.machine.restore(pb.State.FromString(snapshot))


@behave.when('the log has the orders {orders}')
def step_log(context, orders):
    for order in orders.split(', '):
        verb, domain = order.split(' ')
        if verb == 'begins':
            _apply(context.machine, begun=[domain])
        else:
            _apply(context.machine, ended=[domain])


@behave.then('the evacuated domains are {domains}')
def step_evacuated(context, domains):
    assert context.machine.evacuated == set(domains.split(', '))


def _apply(state, **fields):
    state.apply(pb.Entry(evacuations=pb.EvacuationChange(**fields)))
