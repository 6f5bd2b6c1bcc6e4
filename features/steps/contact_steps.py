"""Steps about the addresses at which a router looks for the leader."""

import behave

from honeyport.policy import contacts


@behave.given('a router whose settings name {names}')
def step_router(context, names):
    context.contacts = contacts.Contacts(_split(names))


@behave.given('a router beside the replica {own} whose settings name {names}')
def step_router_beside(context, own, names):
    context.contacts = contacts.Contacts(_split(names), own)


@behave.when('the leader names the replicas {names}')
def step_set_replicas(context, names):
    context.contacts.set_replicas(_split(names))


@behave.when('new settings name {names}')
def step_set_configured(context, names):
    context.contacts.set_configured(_split(names))


@behave.when(
    'another instance names the leader {leader} and the replicas {names}'
)
def step_hint(context, leader, names):
    context.contacts.add_hint(leader, _split(names))


@behave.when('another instance names no leader and the replicas {names}')
def step_hint_no_leader(context, names):
    context.contacts.add_hint('', _split(names))


@behave.when('{count:d} instances name a replica each')
def step_hint_many(context, count):
    for number in range(count):
        context.contacts.add_hint('', [f'r{number}'])


@behave.then('it asks {names} in turn')
def step_asks(context, names):
    expected = _split(names)
    asked = [context.contacts.next_address() for _ in expected]
    assert asked == expected, asked


@behave.then('it asks {name} within {count:d} tries')
def step_asks_within(context, name, count):
    asked = [context.contacts.next_address() for _ in range(count)]
    assert name in asked, asked


def _split(names):
    return names.split(', ')
