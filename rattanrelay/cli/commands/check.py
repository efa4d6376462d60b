"""`rattanrelay check`: checks a settings file without starting anything."""

from ...settings import load_settings
from ..registry import command

__all__ = ["check"]


@command("check")
def check(file: str) -> int | None:
    """Check a settings file (TOML) and print its main keys.

    :param file: path of the file
    """
    settings = load_settings(file)
    print(f"{file}: settings of instance {settings.instance} are correct")
    return None
