"""Steps for the search for free ports."""

import os
import subprocess
import sys

from behave import then, when

from rattanrelay.emulator.addresses import CLAIMS, PORTS_VARIABLE

#: Below the range from which other tests take their ports.
FIRST_PORT = 4000
#: Prints the ports of a process, which ends when its standard input does.
ASK = (
    "import sys; from rattanrelay.emulator.addresses import free_ports; "
    "print(*free_ports({count}), flush=True); sys.stdin.read()"
)


@when("{processes:d} processes ask for {count:d} ports each in a range of {size:d}")
def ask_for_ports(context, processes, count, size):
    command = [sys.executable, "-c", ASK.format(count=count)]
    environment = {**os.environ, PORTS_VARIABLE: f"{FIRST_PORT}-{FIRST_PORT + size}"}
    pipe = subprocess.PIPE
    running = [
        subprocess.Popen(command, env=environment, stdin=pipe, stdout=pipe, text=True)
        for _ in range(processes)
    ]
    context.ports = [int(port) for one in running for port in one.stdout.readline().split()]
    for one in running:
        one.communicate()
    context.expected = processes * count


@then("no port was given twice")
def all_different(context):
    assert len(context.ports) == context.expected, len(context.ports)
    assert len(set(context.ports)) == context.expected, len(set(context.ports))


@then("none of them is claimed after these processes have ended")
def none_claimed(context):
    claimed = [port for port in context.ports if (CLAIMS / str(port)).exists()]
    assert not claimed, claimed
