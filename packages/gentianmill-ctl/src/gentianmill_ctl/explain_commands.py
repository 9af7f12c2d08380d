"""The commands that explain what became of a request, and where one would go."""

from gentianmill_ctl._actions import ask_route, run_command, run_explain
from gentianmill_ctl.explain import STANDARD_INPUT
from gentianmill_ctl.route_report import RouteQuestion

__all__ = ('explain', 'explain_route')


def explain(request_id: str, *files: str, json: bool = False) -> int:
    """Show the log lines that concern a request; make no connection.

    Args:
        request_id: Id of the request as its caller sent it.
        files: Logs of the nodes; standard input if none are given or for ``-``.
        json: Print JSON.
    """
    return run_command(run_explain(request_id, list(files) or [STANDARD_INPUT]), json)


def explain_route(
    path: str, *, host: str, node: str, team: str = '', json: bool = False
) -> int:
    """Show where a request would go now and why; send nothing to an upstream.

    Args:
        path: Path of the request.
        host: Host of the request.
        node: host:port of the metrics listener of the node that would accept it.
        team: Name of the team whose key it would carry.
        json: Print JSON.
    """
    question = RouteQuestion(host, path, team)
    return run_command(ask_route(node, question), json)
