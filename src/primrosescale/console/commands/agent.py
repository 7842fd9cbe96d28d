"""Command that runs the agent of a target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.console.daemon_command import DaemonCommand

if TYPE_CHECKING:
    from primrosescale.process.daemons.agent import Agent
    from primrosescale.process.daemons.daemon import DaemonContext
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.platform import Platform


class AgentCommand(DaemonCommand):
    """Runs an agent."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "agent"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "run an agent, the process beside a target that forwards calls to it"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale agent --settings settings/riga/agent-assistant-1.ini"

    def make(
        self, settings: Settings, context: DaemonContext, platform: Platform
    ) -> Agent:
        """Build an agent."""
        from primrosescale.process.daemons.agent import Agent  # noqa: PLC0415

        return Agent(settings, context, platform)
