"""Steps for the check of keys and the age of the configuration."""

from behave import then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from rattanrelay.decide.access import Access, RevocationBound, check_key, key_digest

BOUND_S = 5.0
KEYS = {key_digest("known"): "crew"}
WORDS = {"a known key": "known", "an other key": "other", "no key": ""}

SECONDS = st.floats(0.0, 8.0, allow_nan=False)
#: For each question for a proof: pause before it, time until the other side states its age, time
#: until the reply is read, and the time for which the other side may be suspended before.
QUESTIONS = st.lists(st.tuples(SECONDS, SECONDS, SECONDS), min_size=1, max_size=12)


@when("{key} is checked, {strictly}, with a configuration of {age:g} s, if removal takes 5 s")
def check(context, key, strictly, age):
    bound = RevocationBound(BOUND_S, strictly == "strictly")
    context.result = check_key(WORDS[key], KEYS, age, bound)


@then('the check says "{result}"')
def says(context, result):
    assert context.result.access.value == result, context.result
    assert context.result.workspace == ("crew" if result == "granted" else "")


@then("no removed key is granted later than 5 s after its removal in {count:d} random histories")
def never_late(context, count):
    bound = RevocationBound(BOUND_S, strict=True)

    @settings(max_examples=count)
    @for_all(
        reads=QUESTIONS, asks=QUESTIONS, removed_at=st.floats(0.0, 40.0), gaps=st.lists(SECONDS)
    )
    def holds(reads, asks, removed_at, gaps):
        known = _reader_history(reads, removed_at)
        proofs, now = [], 0.0
        for pause, to_reader, to_asker in asks:
            asked_at = now + pause
            stated_at = asked_at + to_reader
            at, seen = _known_at(known, stated_at)
            now = stated_at + to_asker
            if at is not None:
                # The asker learns with the reply whether its version is the reader's.
                proofs.append((now, asked_at - (stated_at - at), seen))
        checked_at = 0.0
        for gap in gaps:
            checked_at += gap
            read = [proof for proof in proofs if proof[0] <= checked_at]
            if not read or any(seen for _, _, seen in read):
                continue
            age = checked_at - max(at for _, at, _ in read)
            granted = check_key("known", KEYS, age, bound).access is Access.GRANTED
            assert not granted or checked_at <= removed_at + BOUND_S

    holds()


def _reader_history(reads, removed_at):
    """Return for each call to the store: when it was read, its start, and if it has the removal."""
    history, now = [], 0.0
    for pause, to_store, to_reader in reads:
        started = now + pause
        answered = started + to_store
        now = answered + to_reader
        history.append((now, started, answered >= removed_at))
    return history


def _known_at(history, when_):
    """Return the latest time as of which the reader knew all, and if it knew of the removal."""
    known = [(started, seen) for read, started, seen in history if read <= when_]
    if not known:
        return None, False
    return max(started for started, _ in known), any(seen for _, seen in known)
