"""Command that runs a small deployment of stand-ins in one process."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from absl import flags
from twisted.internet.defer import inlineCallbacks

from primrosescale.console.command import Command
from primrosescale.console.exit_codes import ExitCode
from primrosescale.process.events import LogFile

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.standin.deployment import Deployment


class DemoCommand(Command):
    """Runs routers, agents and stand-ins in one process, with load."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "demo"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "run a small deployment with load, a restart and a drain"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale demo --serve"

    def define(self, values: flags.FlagValues) -> None:
        """Define the flags of the command."""
        flags.DEFINE_bool(
            "serve",
            False,  # noqa: FBT003
            "keep the deployment running and print examples of requests to it",
            flag_values=values,
        )
        flags.DEFINE_string(
            "log",
            str(Path(tempfile.gettempdir()) / "primrosescale-demo.log"),
            "path of the log file",
            flag_values=values,
        )

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Run the demo and print its summary."""
        from twisted.internet import reactor as installed  # noqa: PLC0415

        reactor: Any = installed
        path = Path(str(values["log"].value))
        path.unlink(missing_ok=True)
        log = LogFile(str(path))
        result = [ExitCode.FAILED]
        job = self._serve if values["serve"].value else self._run_demo

        def begin() -> None:
            done = job(reactor, result)
            done.addErrback(_print_error)
            done.addBoth(lambda _: reactor.stop() if reactor.running else None)

        reactor.callWhenRunning(begin)
        reactor.run()
        log.close()
        sys.stdout.write(f"log                   {path}\n")
        return result[0]

    @inlineCallbacks
    def _run_demo(
        self, reactor: Any, result: list[ExitCode]
    ) -> Generator[Any, Any, None]:
        from primrosescale.standin.demo_client import DemoClient  # noqa: PLC0415
        from primrosescale.standin.demo_run import DemoRun  # noqa: PLC0415
        from primrosescale.standin.deployment import Deployment  # noqa: PLC0415

        client = DemoClient(reactor)
        deployment = Deployment(reactor)
        yield deployment.start(client)
        summary = yield DemoRun(deployment, client, reactor).run()
        yield client.close()
        yield deployment.stop()
        sys.stdout.write(summary.text() + "\n")
        broken = bool(summary.broken)
        result[0] = ExitCode.INVARIANT_BROKEN if broken else ExitCode.OK

    @inlineCallbacks
    def _serve(self, reactor: Any, result: list[ExitCode]) -> Generator[Any, Any, None]:
        from twisted.internet.defer import Deferred  # noqa: PLC0415

        from primrosescale.standin.demo_client import DemoClient  # noqa: PLC0415
        from primrosescale.standin.deployment import Deployment  # noqa: PLC0415

        client = DemoClient(reactor)
        deployment = Deployment(reactor)
        yield deployment.start(client)
        sys.stdout.write(_usage_examples(deployment))
        sys.stdout.flush()
        stopping: Deferred[None] = Deferred()
        reactor.addSystemEventTrigger("before", "shutdown", _stop, deployment, result)
        yield stopping


def _stop(deployment: Deployment, result: list[ExitCode]) -> Any:
    result[0] = ExitCode.OK
    return deployment.stop()


def _print_error(failure: Any) -> None:
    sys.stderr.write(f"primrosescale: demo failed: {failure.getTraceback()}\n")


def _usage_examples(deployment: Deployment) -> str:
    from primrosescale.standin.deployment import AUTHOR_KEY  # noqa: PLC0415
    from primrosescale.standin.deployment import MODEL  # noqa: PLC0415
    from primrosescale.standin.deployment import organisation_key  # noqa: PLC0415

    base = f"http://127.0.0.1:{deployment.routers[0].http_port}"
    admin = f"http://127.0.0.1:{deployment.routers[0].admin_port}"
    key = organisation_key("bakery")
    chat = f'{{"model":"{MODEL}","messages":[{{"role":"user","content":"hello"}}],'
    chat += '"chat_id":"mine","stream":true}'
    return "\n".join(
        [
            "The deployment is running; stop it with Ctrl-C.",
            "",
            "a streamed chat:",
            f"  curl -N {base}/v1/chat/completions -H 'Authorization: Bearer {key}' \\",
            f"    -H 'Content-Type: application/json' -d '{chat}'",
            "a switch confirmation, which runs once even when it is retried:",
            f"  curl {base}/services/portal/switches \\",
            f"    -H 'Authorization: Bearer {key}' \\",
            "    -H 'Idempotency-Key: switch-1' -d '{\"case\":\"1\"}'",
            "the configuration version in force in each failure domain:",
            f"  curl {admin}/admin/v1/status -H 'Authorization: Bearer {AUTHOR_KEY}'",
            "",
        ],
    )
