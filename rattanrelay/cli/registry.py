"""Registry of sub-commands, with one lazily imported module for each first word."""

import pkgutil
from collections.abc import Callable
from importlib import import_module

__all__ = ["COMMANDS", "Command", "command", "command_tree", "group_names"]

#: A sub-command returns an exit code, or None for success; its annotations define its arguments.
Command = Callable[..., int | None]

#: Sub-commands by their words, such as ("table", "set").
COMMANDS: dict[tuple[str, ...], Command] = {}

PACKAGE = "rattanrelay.cli.commands"


def command(*words: str) -> Callable[[Command], Command]:
    """Register a function under one or two words.

    The module must be `rattanrelay/cli/commands/<first word>.py`. Keyword-only parameters become
    options; the docstring becomes the help text.
    """
    if len(words) not in (1, 2):
        raise ValueError(f"a command has one or two words, not {words!r}")

    def register(function: Command) -> Command:
        if words in COMMANDS:
            raise ValueError(f"command {words!r} is registered twice")
        COMMANDS[words] = function
        return function

    return register


def group_names() -> list[str]:
    """Return the first words of all commands, without importing their modules."""
    package = import_module(PACKAGE)
    return sorted(module.name for module in pkgutil.iter_modules(package.__path__))


def command_tree(groups: list[str]) -> dict:
    """Import the modules of `groups` and return their commands, nested by word."""
    tree: dict = {}
    for group in groups:
        import_module(f"{PACKAGE}.{group}")
    for words, function in sorted(COMMANDS.items()):
        if words[0] not in groups:
            continue
        if len(words) == 1:
            tree[words[0]] = function
        else:
            tree.setdefault(words[0], {})[words[1]] = function
    return tree
