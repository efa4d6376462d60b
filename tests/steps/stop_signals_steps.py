"""Steps of the feature about stop signals."""

import signal

from behave import then, when

from tests.harness import wait_until


def _logged(process, text):
    return text in process.log.read_text()


@when('"{name}" gets SIGTERM, and again while it shuts down')
def two_signals(context, name):
    context.stopped = context.fleet.entries[name].process
    context.stopped.signal(signal.SIGTERM)
    wait_until(lambda: _logged(context.stopped, "daemon.stopping"), "the shutdown has begun")
    context.stopped.signal(signal.SIGTERM)
    context.status = context.stopped.wait()


@then("it has ended without finishing its shutdown")
def ended_at_once(context):
    assert context.status == 0, (context.status, context.stopped.tail())
    assert not _logged(context.stopped, "daemon.drained"), context.stopped.tail()
    assert not _logged(context.stopped, "Traceback"), context.stopped.tail()


@when('the store is down so that it {down}s, and "{name}" gets SIGTERM')
def stop_without_store(context, down, name):
    context.fleet.platform.set_store_faults(down=down)
    context.stopped = context.fleet.entries[name].process
    context.status = context.stopped.stop()


@then("it has ended with status 0 within its stop timeout")
def ended_in_time(context):
    assert context.status == 0, (context.status, context.stopped.tail())
    assert _logged(context.stopped, "daemon.drained"), context.stopped.tail()
    assert _logged(context.stopped, '"in_time":true'), context.stopped.tail()
