"""Steps for answers of a tail service at its soft deadline."""

import trio
from behave import given, then, when
from entry_fakes import SHARDS, make_entry, make_query, ok_result, run_entry

TAIL = (
    "a tail service of {shards:d} shards, soft deadline {ms:d} ms, that needs a share of {share:f}"
)


@given(TAIL)
def tail_service(context, shards, ms, share):
    assert shards == SHARDS
    context.row = {
        "policy": "tail",
        "soft_deadline_ms": ms,
        "min_answered": share,
        "hedge": False,
    }


@given("{early:d} shards answer within {ms:d} ms, one more each {gap:d} ms after {start:d} ms")
def late_shards(context, early, ms, gap, start):
    def answer(target, sub):
        number = int(target.shard[1:])
        seconds = ms / 1000 if number < early else (start + gap * (number - early)) / 1000
        return seconds, [ok_result(target, sub)]

    context.answer = answer


@when("a query with a timeout of {ms:d} ms is sent")
def send_query(context, ms):
    async def main():
        entry, _ = make_entry(context.answer, **context.row)
        started = trio.current_time()
        context.result = await entry.query(make_query(seconds=ms / 1000))
        context.elapsed_ms = (trio.current_time() - started) * 1000

    run_entry(main)


@then("the answer goes out after {ms:d} ms with {answered:d} shards and the rest named")
def answered(context, ms, answered):
    coverage = context.result.coverage
    assert (coverage.answered, coverage.shards) == (answered, SHARDS), coverage
    assert len(coverage.missing) == SHARDS - answered
    assert abs(context.elapsed_ms - ms) < 1, context.elapsed_ms
