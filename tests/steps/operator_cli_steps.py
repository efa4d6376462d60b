"""Steps for the command line, which runs in this process against a server in a thread."""

import contextlib
import io
import json
import os
import shlex
import socket
import ssl
import subprocess
import sys
import tempfile
import threading
from functools import partial
from pathlib import Path
from unittest.mock import patch

import trio
import trustme
from behave import given, then, when
from operator_fakes import AdminFixture, token_of
from operator_samples import sample_table

from rattanrelay.cli import main, show
from rattanrelay.cli.registry import COMMANDS
from rattanrelay.errors import RelayError
from rattanrelay.http import Response, serve_http
from rattanrelay.table.cells import cell_of

START_LIMIT_S = 10.0

FILES = {
    "bad.csv": "#rattanrelay,services,7\nname,weight\nlogging,heavy\n",
    "range.csv": "#rattanrelay,services,7\nname,weight\nlogging,0\n",
    "good.csv": "#rattanrelay,services,7\nname,queue\nlogging,9\n",
    "unknown.csv": "name,queue\nlogging,9\n",
}
SETTINGS = "\n".join(
    ['instance = "entry-1"', 'failure_domain = "oviedo"']
    + [
        f'{name} = {{ host = "127.0.0.1", port = 0 }}'
        for name in ("callers", "peers", "admin", "store", "instance_list")
    ]
)
NO_TOKEN = '\n[[admin_tokens]]\nteam = "a"\nfile = "/nonexistent"\nscopes = ["read"]\n'


class Server:
    """Serves a handler on a port of 127.0.0.1 from a thread until it is closed."""

    def __init__(self, handler, tls=None):
        self.handler = handler
        self.tls = tls
        self.started = threading.Event()
        self.thread = threading.Thread(target=trio.run, args=(self.serve,))
        self.thread.start()
        assert self.started.wait(START_LIMIT_S)

    async def serve(self):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        if self.tls is not None:
            secured = [trio.SSLListener(one, self.tls, https_compatible=True) for one in listeners]
            listeners = secured
        self.token = trio.lowlevel.current_trio_token()
        self.stopping = trio.Event()
        self.started.set()
        await serve_http(self.handler, listeners, stopping=self.stopping)

    def close(self):
        self.token.run_sync_soon(self.stopping.set)
        self.thread.join()


@given("a running administration API for these tokens")
def given_running(context):
    context.api = AdminFixture(sample_table(), [row.as_dict() for row in context.table])
    context.add_cleanup(context.api.close)
    server = Server(context.api.admin.handle)
    context.add_cleanup(server.close)
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name)
    context.addresses = {"admin": server.address, "closed": unused_address()}
    texts = {
        **FILES,
        "good.toml": SETTINGS,
        "port.toml": SETTINGS.replace("port = 0", "port = 70000", 1),
        "token.toml": SETTINGS + NO_TOKEN,
        "fleet": token_of("fleet"),
        "viewer": token_of("viewer"),
        "unknown": token_of("nobody"),
    }
    for name, text in texts.items():
        (context.folder / name).write_text(text)


def unused_address():
    """Return an address without a listener."""
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{unused.getsockname()[1]}"


def run_main(context, arguments):
    out = io.TextIOWrapper(io.BytesIO(), "utf-8", write_through=True)
    err = io.StringIO()
    variables = {
        "RATTANRELAY_ADMIN": context.addresses["admin"],
        "RATTANRELAY_TOKEN_FILE": str(context.folder / "fleet"),
        "RATTANRELAY_CALLERS": context.addresses.get("callers", context.addresses["closed"]),
    }
    with (
        patch.dict(os.environ, variables),
        patch.object(show, "WAIT_TIMEOUT_S", 0.0),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        context.exit_code = main(arguments)
    context.printed = out.buffer.getvalue().decode()
    context.errors = err.getvalue()


def substitute(context, text):
    """Replace the names in braces by addresses and paths."""
    for name, address in context.addresses.items():
        text = text.replace(f"{{{name}}}", address)
    for name in [*(path.name for path in context.folder.iterdir()), "out.csv"]:
        text = text.replace(f"{{{name}}}", str(context.folder / name))
    return text


@when("the command line is: {command}")
def when_command(context, command):
    lexer = shlex.shlex(substitute(context, command), posix=True, punctuation_chars=False)
    lexer.whitespace_split, lexer.quotes, lexer.commenters = True, "'", ""
    run_main(context, list(lexer))


@when('the file "{name}" has "{old}" replaced by "{new}"')
def when_file_edited(context, name, old, new):
    path = context.folder / name
    path.write_bytes(path.read_bytes().replace(old.encode(), new.encode()))


@when("a command raises {error}")
def when_raises(context, error):
    kinds = {
        "ValueError": ValueError("odd"),
        "ExceptionGroup": ExceptionGroup("g", [RelayError("not_ready", "no table")]),
        "KeyboardInterrupt": KeyboardInterrupt(),
    }

    def fail(file: str) -> None:
        raise kinds[error]

    run_main(context, ["check", str(context.folder / "good.toml")])
    with patch.dict(COMMANDS, {("check",): fail}):
        run_main(context, ["check", "x"])


@then('it exits with {code:d} and one error line that says "{text}"')
def then_error(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.errors, context.printed)
    assert context.errors.count("\n") == 1 and text in context.errors, context.errors


@then('it exits with {code:d} and prints "{text}"')
@then('it exits with {code:d} and prints ""')
def then_printed(context, code, text=""):
    assert context.exit_code == code, (context.exit_code, context.errors)
    assert text in context.printed, context.printed


@then('it prints "{text}"')
def then_also_printed(context, text):
    assert text in context.printed, context.printed


@then('the cell "{kind}" "{row}" "{column}" of the served table is {value}')
def then_served(context, kind, row, column, value):
    assert context.exit_code in (0, 1), context.errors
    assert cell_of(context.api.documents.table, kind, row, column) == json.loads(value)


async def answer_always(received, status, text, request):
    received.append(request)
    return Response(status, {"content-type": "application/json"}, text.encode())


@given("a caller interface that answers {status:d} with")
def given_callers(context, status):
    context.received = []
    server = Server(partial(answer_always, context.received, status, context.text))
    context.add_cleanup(server.close)
    context.addresses["callers"] = server.address


@given("a caller interface with TLS that answers {status:d} with")
def given_secured_callers(context, status):
    context.received = []
    authority = trustme.CA()
    tls = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert("127.0.0.1").configure_cert(tls)
    authority.cert_pem.write_to_path(str(context.folder / "ca.pem"))
    trustme.CA().cert_pem.write_to_path(str(context.folder / "other.pem"))
    server = Server(partial(answer_always, context.received, status, context.text), tls)
    context.add_cleanup(server.close)
    context.addresses["callers"] = server.address


@then("the caller interface has received {count:d} requests")
def then_received_count(context, count):
    assert len(context.received) == count, len(context.received)


@then('the caller interface has received "{target}" with {body}')
def then_received(context, target, body):
    (request,) = context.received
    assert (request.method, request.target) == ("POST", target), request
    assert json.loads(request.body) == json.loads(body), request
    assert request.headers["x-tenant"] == "museum"


@then('the command "{word}" imports no other command module')
def then_lazy(context, word):
    code = (
        "import sys, rattanrelay.cli as c; c.main([sys.argv[1], sys.argv[2]]);"
        "print([m for m in sys.modules if m.startswith('rattanrelay.cli.commands.')])"
    )
    command = [sys.executable, "-c", code, word, str(context.folder / "good.toml")]
    done = subprocess.run(command, capture_output=True, text=True, check=True, timeout=60)
    assert done.stdout.splitlines()[-1] == f"['rattanrelay.cli.commands.{word}']", done


@then('the error says "{text}"')
def then_error_says(context, text):
    assert text in context.errors, context.errors


@then('the load report "{name}" says that all {count:d} queries were answered')
def then_load_report(context, name, count):
    report = json.loads((context.folder / name).read_text())["total"]
    assert (report["requests"], report["outcomes"]) == (count, {"done": count}), report
