"""Steps for instances that read the store for others."""

from behave import then, when

from rattanrelay.decide.store_readers import readers_for


def _fleet(instances, domains):
    return {f"entry-{number}": f"domain-{number % domains}" for number in range(instances)}


def _choices(fleet):
    """Return the readers that each instance would follow."""
    return {
        name: readers_for(name, fleet[name], {k: v for k, v in fleet.items() if k != name})
        for name in fleet
    }


def _check(fleet, choices, readers):
    chosen = {name for name, found in choices.items() if not found}
    assert len(chosen) == readers, chosen
    for name, found in choices.items():
        if found:
            assert set(found) == chosen and len(found) == len(chosen), (name, found)
            assert fleet[found[0]] == fleet[name], (name, found)


@when("{instances:d} instances in {domains:d} domains choose their readers")
def choose_readers(context, instances, domains):
    context.fleet = _fleet(instances, domains)
    names = context.fleet if instances < 1000 else list(context.fleet)[:60]
    context.choices = {}
    for name in names:
        others = {k: v for k, v in context.fleet.items() if k != name}
        context.choices[name] = readers_for(name, context.fleet[name], others)
    if instances >= 1000:
        # The readers themselves are among those that the others name.
        for name in {reader for found in context.choices.values() for reader in found}:
            others = {k: v for k, v in context.fleet.items() if k != name}
            context.choices[name] = readers_for(name, context.fleet[name], others)


@then("{readers:d} of them read, and each other one follows the reader of its domain first")
def check_readers(context, readers):
    _check(context.fleet, context.choices, readers)


@when("the readers of {instances:d} instances in {domains:d} domains leave one after the other")
def readers_leave(context, instances, domains):
    fleet = _fleet(instances, domains)
    context.rounds = []
    for _ in range(10):
        choices = _choices(fleet)
        context.rounds.append((dict(fleet), choices))
        gone = next(name for name, found in choices.items() if not found)
        del fleet[gone]


@then("each time all instances agree on one reader for each domain")
def check_rounds(context):
    for fleet, choices in context.rounds:
        _check(fleet, choices, len(set(fleet.values())))
