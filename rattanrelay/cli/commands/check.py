"""`rattanrelay check`: checks settings and CSV files without starting or changing anything."""

from pathlib import Path

from ...errors import RelayError
from ...node.admin_access import Tokens
from ...settings import load_settings
from ...table import Table
from ...table.cells import apply_changes
from ...table.checks import check_table, problems
from ...table.csv import import_changes, parse_sheet
from ..files import read_text
from ..registry import command

__all__ = ["check"]


@command("check")
def check(*files: str, kind: str = "", platform: bool = False) -> None:
    """Check settings (.toml) with their token files, or CSV files of table rows.

    CSV files given together are checked as one table; references to rows of a kind that no file
    holds are not checked.

    :param files: paths of the files
    :param kind: kind of the rows, for a CSV file without the first line of an export
    :param platform: the settings are those that the users' platform writes for an instance
    """
    if not files:
        raise RelayError("bad_arguments", "check: give at least one file", step="read arguments")
    check_settings = _check_platform_settings if platform else _check_settings
    sheets = [file for file in files if file.endswith(".csv")]
    for file in files:
        if file not in sheets:
            check_settings(file)
    if sheets:
        _check_rows(sheets, kind)


def _check_settings(file: str) -> None:
    settings = load_settings(file)
    try:
        Tokens(settings.admin_tokens)
    except RelayError as error:
        raise RelayError(error.code, f"{file}: {error.message}", step=error.step) from None
    print(f"{file}: settings of instance {settings.instance} are correct")


def _check_platform_settings(file: str) -> None:
    # Imported here since it loads the whole relay, which other uses of the command do not need.
    from ...platform.settings import load

    print(f"{file}: settings of instance {load(Path(file)).instance} are correct")


def _check_rows(files: list[str], kind: str) -> None:
    table = Table(0)
    kinds = []
    for file in files:
        try:
            sheet = parse_sheet(read_text(file), kind or None)
            table = apply_changes(table, import_changes(table, sheet))
            kinds.append(sheet.kind)
            check_table(problems(table, tuple(kinds)))
        except RelayError as error:
            raise RelayError(error.code, f"{file}: {error.message}", step=error.step) from None
        print(f"{file}: {len(sheet.rows)} rows of {sheet.kind} are correct")
