"""Generate the thrift module ``connection/wire`` and its type stub from the IDL.

This needs the ``thrift`` compiler. Builds and tests do not, because the output is
committed.
"""

from __future__ import annotations

import pathlib
import shutil
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src/primrosescale/connection/wire.thrift"
TARGET = ROOT / "src/primrosescale/connection/wire"
HEADER = '"""Types of the generated thrift module."""\n\nfrom enum import IntEnum\n'


def main() -> None:
    """Run the compiler and write the type stub next to its output."""
    compiler = shutil.which("thrift")
    if compiler is None:
        sys.exit("thrift compiler not found: install the package thrift-compiler")
    with tempfile.TemporaryDirectory() as folder:
        subprocess.run(
            [compiler, "--gen", "py:slots,enum", "-out", folder, str(SOURCE)],
            check=True,
        )
        generated = pathlib.Path(folder) / "primrosescale/connection/wire"
        TARGET.mkdir(exist_ok=True)
        text = (generated / "ttypes.py").read_text()
        (TARGET / "ttypes.py").write_text(text)
        (TARGET / "__init__.py").write_text(
            '"""Structs generated from ``wire.thrift``; do not edit by hand."""\n',
        )
    sys.path.insert(0, str(ROOT / "src"))
    from primrosescale.connection.wire import ttypes  # noqa: PLC0415

    (TARGET / "ttypes.pyi").write_text(_stub(ttypes))


def _stub(module: object) -> str:
    lines = [HEADER]
    for name, item in vars(module).items():
        if not isinstance(item, type) or item.__module__ != module.__name__:
            continue
        if hasattr(item, "__members__"):
            lines.append(f"class {name}(IntEnum):")
            lines += [f"    {m} = {int(v)}" for m, v in item.__members__.items()]
        else:
            lines += _struct_stub(name, item)
        lines.append("")
    return "\n".join(lines)


def _struct_stub(name: str, item: type) -> list[str]:
    fields = [
        (spec[2], _annotation(spec[1], spec[3]))
        for spec in item.thrift_spec
        if spec is not None
    ]
    typed = [(f, ENUM_FIELDS.get((name, f), t)) for f, t in fields]
    optional = set(OPTIONAL)
    result = [f"class {name}:"]
    for field, kind in typed:
        suffix = " | None" if (name, field) in optional else ""
        result.append(f"    {field}: {kind}{suffix}")
    args = []
    for field, kind in typed:
        if (name, field) in optional:
            args.append(f"{field}: {kind} | None = ...")
        else:
            args.append(f"{field}: {kind}")
    result.append(f"    def __init__(self, {', '.join(args)}) -> None: ...")
    result.append("    def read(self, iprot: object) -> None: ...")
    result.append("    def write(self, oprot: object) -> None: ...")
    return result


OPTIONAL = [
    ("ClaimRequest", "answer"),
    ("ClaimReply", "answer"),
    ("LedgerEntry", "answer"),
    ("TargetNews", "good_percent"),
    ("TargetNews", "bad_percent"),
    ("TargetNews", "good"),
    ("PartNews", "before"),
    ("RouterNews", "scope"),
    ("RouterNews", "wants_fleet"),
    ("RouterNews", "targets_digest"),
    ("RouterNews", "running"),
    ("RouterNews", "age_ms"),
    ("RouterNews", "routers"),
    ("RouterNews", "is_packed"),
    ("RouterNews", "ends"),
    ("RouterNews", "held"),
    ("RouterNews", "evacuated"),
    ("RouterNews", "evacuated_revision"),
    ("RouterNews", "leaving"),
    ("RouterNews", "waiting"),
    ("EndNews", "target"),
    ("EndNews", "is_try"),
    ("EndNews", "was_answered"),
    ("EndNews", "parts"),
    ("StreamOriginReport", "software_version"),
    ("StreamOriginAnswer", "service_name"),
    ("StreamOriginAnswer", "software_version"),
    ("StreamOriginAnswer", "only_version"),
    ("StreamOriginAnswer", "has_several_versions"),
]
ENUM_FIELDS = {
    ("CallFailed", "outcome"): "Outcome",
    ("CallFailed", "reason"): "Reason",
    ("Heartbeat", "state"): "MemberState",
    ("MemberNotice", "state"): "MemberState",
    ("ClaimRequest", "verb"): "ClaimVerb",
    ("ClaimReply", "state"): "ClaimState",
    ("LedgerEntry", "state"): "ClaimState",
    ("RouterNews", "scope"): "NewsScope",
}
BOOL, I32, I64, STRING, STRUCT, MAP, LIST = 2, 8, 10, 11, 12, 13, 15


def _annotation(code: int, argument: object) -> str:
    if code == BOOL:
        return "bool"
    if code in {I32, I64}:
        return "int"
    if code == STRING:
        return "bytes" if argument == "BINARY" else "str"
    if code == STRUCT:
        return argument[0].__name__  # type: ignore[index]
    if code == LIST:
        return f"list[{_annotation(argument[0], argument[1])}]"  # type: ignore[index]
    if code == MAP:
        key = _annotation(argument[0], argument[1])  # type: ignore[index]
        value = _annotation(argument[2], argument[3])  # type: ignore[index]
        return f"dict[{key}, {value}]"
    raise ValueError(code)


if __name__ == "__main__":
    main()
