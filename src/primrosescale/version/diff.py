"""Lists the differences of two bundles, as record names or as readable text."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.version.bundle import Bundle
    from primrosescale.version.records import RecordName
    from primrosescale.version.records import RecordText


def changed_records(before: Bundle, after: Bundle) -> list[RecordName]:
    """Return the names of the records that differ.

    Parameters
    ----------
    before : Bundle
        The earlier bundle.
    after : Bundle
        The later bundle.

    Returns
    -------
    list[RecordName]
        Names sorted by kind and name.
    """
    names = before.records.keys() | after.records.keys()
    return sorted(n for n in names if before.records.get(n) != after.records.get(n))


def diff_text(before: Bundle, after: Bundle) -> str:
    """Return the differences as text, one line for each option.

    Parameters
    ----------
    before : Bundle
        The earlier bundle.
    after : Bundle
        The later bundle.

    Returns
    -------
    str
        ``+`` marks additions, ``-`` removals and ``~`` changes; empty for none.
    """
    lines: list[str] = []
    for name in changed_records(before, after):
        old = before.records.get(name)
        new = after.records.get(name)
        mark = "~"
        if old is None:
            mark = "+"
        elif new is None:
            mark = "-"
        lines.append(f"{mark} [{name}]")
        lines.extend(_option_lines(old, new))
    return "\n".join(lines) + ("\n" if lines else "")


def _option_lines(old: RecordText | None, new: RecordText | None) -> list[str]:
    before = {} if old is None else {item.key: item.value for item in old.options}
    after = {} if new is None else {item.key: item.value for item in new.options}
    lines: list[str] = []
    for key in sorted(before.keys() | after.keys()):
        if before.get(key) == after.get(key):
            continue
        if key not in before:
            lines.append(f"    + {key} = {after[key]}")
        elif key not in after:
            lines.append(f"    - {key} = {before[key]}")
        else:
            lines.append(f"    ~ {key} = {before[key]} -> {after[key]}")
    return lines
