"""Command that checks, creates, signs and rolls out bundles of configuration."""

from __future__ import annotations

import base64
import hashlib
import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from absl import flags
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from primrosescale.console.admin_client import AdminClient
from primrosescale.console.command import Command
from primrosescale.console.exceptions import UsageError
from primrosescale.console.exit_codes import ExitCode
from primrosescale.version.bundle import Bundle
from primrosescale.version.head import sign

if TYPE_CHECKING:
    from collections.abc import Callable

KEY_BYTES = 32
SHORT_DIGEST_CHARACTERS = 12
FORMATS = ("text", "json")


class BundleCommand(Command):
    """Works with bundles of routing configuration."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "bundle"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "check, create, diff, sign and roll out configuration"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return (
            "primrosescale bundle create riga.ini --admin 127.0.0.1:8081 "
            "--key-file ~/.primrosescale-key"
        )

    @property
    def arguments(self) -> str:
        """Return the synopsis of its positional arguments."""
        return (
            "check FILE | create FILE | show VERSION | diff VERSION [VERSION] | "
            "sign DIGEST | roll-out DIGEST | status | history | revert-to VERSION | "
            "audit | keygen | hash-key"
        )

    def define(self, values: flags.FlagValues) -> None:
        """Define the flags of the command."""
        flags.DEFINE_string(
            "admin",
            "127.0.0.1:8081",
            "address:port of any router's administration API",
            flag_values=values,
        )
        flags.DEFINE_string(
            "key_file",
            "",
            "file with the operator's bearer key",
            flag_values=values,
        )
        flags.DEFINE_string(
            "signing_key",
            "",
            "file with the approver's private key, as keygen prints it",
            flag_values=values,
        )
        flags.DEFINE_string(
            "base",
            "",
            "create only if the version with this digest is still in force",
            flag_values=values,
        )
        flags.DEFINE_enum(
            "format",
            "text",
            list(FORMATS),
            "output format",
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Run the verb that the first argument names."""
        verbs: dict[str, Callable[[flags.FlagValues, list[str]], None]] = {
            "check": self._check,
            "create": self._create,
            "show": self._show,
            "diff": self._diff,
            "sign": self._sign,
            "roll-out": self._roll_out,
            "status": self._status,
            "history": self._history,
            "revert-to": self._revert_to,
            "audit": self._audit,
            "keygen": self._keygen,
            "hash-key": self._hash_key,
        }
        if not args or args[0] not in verbs:
            raise UsageError(
                "missing or unknown verb", f"use one of {', '.join(verbs)}"
            )
        verbs[args[0]](values, args[1:])
        return ExitCode.OK

    def _check(self, values: flags.FlagValues, args: list[str]) -> None:
        path = _single_argument(args, "FILE")
        bundle = Bundle.from_ini(_read(path), path)
        _write(f"{path}: valid, {len(bundle.records)} records")

    def _create(self, values: flags.FlagValues, args: list[str]) -> None:
        path = _single_argument(args, "FILE")
        text = _read(path)
        Bundle.from_ini(text, path)
        reply = _client(values).create(text, str(values["base"].value))
        _print(values, reply, _info_line)

    def _show(self, values: flags.FlagValues, args: list[str]) -> None:
        reply = _client(values).get(f"bundles/{_single_argument(args, 'VERSION')}")
        _print(values, reply, lambda fields: str(fields["ini"]).rstrip())

    def _diff(self, values: flags.FlagValues, args: list[str]) -> None:
        if not args:
            raise UsageError("no version given", "pass one or two versions")
        query = f"?with={args[1]}" if len(args) > 1 else ""
        reply = _client(values).get(f"bundles/{args[0]}/diff{query}")
        _print(values, reply, lambda f: str(f["diff"]).rstrip() or "no difference")

    def _sign(self, values: flags.FlagValues, args: list[str]) -> None:
        digest = _single_argument(args, "DIGEST")
        key = _signing_key(str(values["signing_key"].value))
        reply = _client(values).sign(digest, sign(digest, key))
        _print(values, reply, _info_line)

    def _roll_out(self, values: flags.FlagValues, args: list[str]) -> None:
        reply = _client(values).post(
            "head", {"digest": _single_argument(args, "DIGEST")}
        )
        _print(values, reply, _info_line)

    def _status(self, values: flags.FlagValues, args: list[str]) -> None:
        _print(values, _client(values).get("status"), _status_text)

    def _history(self, values: flags.FlagValues, args: list[str]) -> None:
        reply = _client(values).get("bundles")
        _print(
            values,
            reply,
            lambda fields: "\n".join(_info_line(item) for item in fields["bundles"]),
        )

    def _revert_to(self, values: flags.FlagValues, args: list[str]) -> None:
        reply = _client(values).post(
            "revert", {"to": _single_argument(args, "VERSION")}
        )
        _print(values, reply, _info_line)

    def _audit(self, values: flags.FlagValues, args: list[str]) -> None:
        reply = _client(values).get("audit")
        _print(
            values,
            reply,
            lambda fields: "\n".join(_audit_line(item) for item in fields["entries"]),
        )

    def _keygen(self, values: flags.FlagValues, args: list[str]) -> None:
        key = Ed25519PrivateKey.generate()
        private = base64.b64encode(key.private_bytes_raw()).decode()
        public = base64.b64encode(key.public_key().public_bytes_raw()).decode()
        _write(f"private {private}\npublic {public}")

    def _hash_key(self, values: flags.FlagValues, args: list[str]) -> None:
        key = sys.stdin.readline().strip()
        if not key:
            raise UsageError(
                "no key on standard input", "write the key and a newline to it"
            )
        _write(hashlib.sha256(key.encode()).hexdigest())


def _client(values: flags.FlagValues) -> AdminClient:
    path = values["key_file"].value
    if not path:
        raise UsageError("no operator key", "pass its file with --key_file")
    return AdminClient(str(values["admin"].value), _read(path).strip())


def _signing_key(path: str) -> bytes:
    if not path:
        raise UsageError("no signing key", "pass its file with --signing_key")
    args = _read(path).split()
    text = args[1] if args[:1] == ["private"] and len(args) > 1 else "".join(args[:1])
    try:
        key = base64.b64decode(text, validate=True)
    except ValueError:
        key = b""
    if len(key) != KEY_BYTES:
        raise UsageError(
            f"{path} holds no private key", "create one with 'bundle keygen'"
        )
    return key


def _read(path: str) -> str:
    try:
        return Path(path).expanduser().read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise UsageError(
            f"cannot read {path}: {error}", "pass a readable file"
        ) from error


def _single_argument(args: list[str], name: str) -> str:
    if len(args) != 1:
        raise UsageError(
            f"exactly one {name} is required", "see 'primrosescale bundle --help'"
        )
    return args[0]


def _print(
    values: flags.FlagValues,
    fields: dict[str, Any],
    show: Callable[[dict[str, Any]], str],
) -> None:
    if values["format"].value == "json":
        _write(json.dumps(fields, indent=2, sort_keys=True))
    else:
        _write(show(fields))


def _info_line(fields: dict[str, Any]) -> str:
    approver = fields["approver"] or "nobody yet"
    return (
        f"version {fields['version']}  {fields['digest']}  "
        f"by {fields['author']}, approved by {approver}"
    )


def _audit_line(fields: dict[str, Any]) -> str:
    return f"{fields['at_ms']}  {fields['who']}  {fields['act']}  {fields['digest']}"


def _status_text(fields: dict[str, Any]) -> str:
    where = "everywhere" if fields["in_force_everywhere"] else "not everywhere yet"
    lines = [
        (
            f"version {fields['version']} "
            f"({fields['digest'][:SHORT_DIGEST_CHARACTERS]}) is in force {where}"
        ),
        f"as received by router {fields['router']} {fields['news_age']} s ago",
    ]
    for item in fields["domains"]:
        lines.append(
            f"  {item['domain']}: {item['routers']} routers from version "
            f"{item['lowest_router_version']}, {item['agents']} agents from version "
            f"{item['lowest_agent_version']}",
        )
        lines.extend(
            f"    behind: {late['name']} at {late['version']}"
            for late in item["laggards"]
        )
    return "\n".join(lines)


def _write(text: str) -> None:
    sys.stdout.write(text + "\n")
