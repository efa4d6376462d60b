"""Structs of relay.thrift without parsing it at each start.

The parser builds its tables anew in every process, which takes longer than all other imports of
this package. `python -m rattanrelay.wire.idl` parses the IDL once and writes `structs.py`.
"""

from pathlib import Path

from thriftpy2.thrift import TPayload, TPayloadMeta, TType, gen_init

__all__ = ["build", "describe", "source"]

IDL = Path(__file__).with_name("relay.thrift")
GENERATED = Path(__file__).with_name("structs.py")
HEADER = '''"""Fields of the structs in relay.thrift, written by rattanrelay.wire.idl."""

__all__ = ["STRUCTS"]

#: Rows of number, type and name by struct. The types are thrift's codes; a struct is the name of
#: its type, and a list a tuple with the type of its items.
STRUCTS: dict = {
'''


def build(structs: dict[str, tuple]) -> dict[str, type]:
    """Return thriftpy2 classes by name; a struct must stand behind those that it uses."""
    classes: dict[str, type] = {}
    for name, rows in structs.items():
        cls = TPayloadMeta(name, (TPayload,), {"_ttype": TType.STRUCT, "__module__": __name__})
        cls.thrift_spec = {
            number: (*_spec(kind, field, classes), False) for number, kind, field in rows
        }
        cls.default_spec = [(field, None) for _, _, field in rows]
        gen_init(cls, cls.thrift_spec, cls.default_spec)
        classes[name] = cls
    return classes


def _spec(kind, field: str, classes: dict[str, type]) -> tuple:
    if isinstance(kind, tuple):
        item = kind[0]
        return TType.LIST, field, (TType.STRUCT, classes[item]) if isinstance(item, str) else item
    if isinstance(kind, str):
        return TType.STRUCT, field, classes[kind]
    return kind, field


def describe() -> dict[str, tuple]:
    """Parse the IDL; return what `build` takes."""
    import thriftpy2

    module = thriftpy2.load(str(IDL), module_name="relay_thrift")
    return {
        cls.__name__: tuple((number, _kind(row), row[1]) for number, row in cls.thrift_spec.items())
        for cls in module.__thrift_meta__["structs"]
    }


def _kind(row: tuple):
    if row[0] == TType.LIST:
        item = row[2]
        return (item[1].__name__ if isinstance(item, tuple) else item,)
    return row[2].__name__ if row[0] == TType.STRUCT else row[0]


def source(structs: dict[str, tuple]) -> str:
    """Return the text of the generated module."""
    lines = []
    for name, rows in structs.items():
        lines.append(f"    {name!r}: (\n".replace("'", '"'))
        lines += [f"        {row!r},\n".replace("'", '"') for row in rows]
        lines.append("    ),\n")
    return HEADER + "".join(lines) + "}\n"


if __name__ == "__main__":
    GENERATED.write_text(source(describe()), "utf-8")
