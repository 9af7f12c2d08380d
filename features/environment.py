"""Make the helpers of the tests importable and share the running deployments."""

import sys
from pathlib import Path

TESTS = Path(__file__).parent.parent / 'tests'

sys.path.insert(0, str(TESTS))


def before_all(context):
    """Prepare the deployments; each starts when a scenario first needs it."""
    from deployments import SharedDeployments

    context.deployments = SharedDeployments()


def after_scenario(context, _):
    """Undo the faults of a scenario, so that the next one starts healthy."""
    context.deployments.restore()


def after_all(context):
    """End the processes of all deployments."""
    context.deployments.close()
