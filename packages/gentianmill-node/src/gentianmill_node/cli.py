"""The command line of the node."""

import asyncio
import sys
from pathlib import Path

import defopt
from aiomisc import entrypoint
from gentianmill.errors import GentianmillError
from gentianmill.settings_file import load_settings

from gentianmill_node import logs
from gentianmill_node.event_loop import new_event_loop
from gentianmill_node.service import NodeService

EXIT_BAD_SETTINGS = 2
EXIT_START_FAILED = 3


def run(settings_file: Path) -> None:
    """Run the node beside one upstream until SIGTERM.

    The first SIGTERM starts a drain: new calls are refused and running calls are
    finished. A second SIGTERM ends the process immediately.

    Args:
        settings_file: YAML file with the settings of this node.
    """
    try:
        settings = load_settings(
            settings_file.read_text(encoding='utf-8'), str(settings_file)
        )
    except (GentianmillError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    logs.configure()
    service = NodeService(settings=settings)
    try:
        with entrypoint(
            service,
            loop_factory=new_event_loop,
            log_config=False,
            pool_size=1,
            catch_signals=(),
        ) as loop:
            loop.run_until_complete(service.finished())
    except (GentianmillError, OSError) as error:
        sys.stderr.write(f'{error}\n')
        sys.exit(EXIT_START_FAILED)
    except asyncio.CancelledError:
        return


def main() -> None:
    """Parse the command line and run the node."""
    defopt.run(run)
