"""Make the helpers of the tests importable and share the running deployments."""

import contextlib
import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent / 'tests'

sys.path.insert(0, str(TESTS))


def before_all(context):
    """Prepare the deployments; each starts when a scenario first needs it."""
    from deployments import SharedDeployments

    context.deployments = SharedDeployments()


def before_scenario(context, _):
    """Limit the time of a scenario; one that exceeds it ends the run as failed."""
    from case_timeout import LIMIT_S, limited

    context.limit = contextlib.ExitStack()
    context.limit.enter_context(limited(LIMIT_S, sys.__stderr__.fileno()))


def after_scenario(context, _):
    """Undo the faults of a scenario, so that the next one starts healthy."""
    with context.limit:
        context.deployments.restore()


def after_all(context):
    """End the processes of all deployments."""
    context.deployments.close()
