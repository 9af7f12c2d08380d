"""The commands of ``gentianmillctl``."""

import sys

import defopt

from gentianmill_ctl._actions import (
    call_node,
    run_check,
    run_command,
    settle_claim,
    submit_file,
)
from gentianmill_ctl.check import check_settings_file, check_sheet_file
from gentianmill_ctl.drain import start_drain
from gentianmill_ctl.explain_commands import explain, explain_route
from gentianmill_ctl.result import EXIT_CODE_HELP
from gentianmill_ctl.settle import ClaimName, Verdict
from gentianmill_ctl.show import (
    drain_report,
    limit_report,
    member_report,
    sheet_report,
)


def check_settings(file: str, *, json: bool = False) -> int:
    """Check the settings of a node; make no connection.

    Args:
        file: Settings file in YAML.
        json: Print JSON.
    """
    return run_command(run_check(check_settings_file, file), json)


def check_sheet(file: str, *, json: bool = False) -> int:
    """Check a planning sheet; make no connection.

    Args:
        file: Planning sheet in YAML.
        json: Print JSON.
    """
    return run_command(run_check(check_sheet_file, file), json)


def submit(
    file: str,
    *,
    table: str,
    expect: int,
    by: str,
    key_file: str = '',
    json: bool = False,
) -> int:
    """Check a planning sheet and apply it if the expected version is still in force.

    Args:
        file: Planning sheet in YAML.
        table: URL of the platform's table service.
        expect: Version in force at present; 0 if there is none yet.
        by: Name of the operator, stored with the sheet.
        key_file: File with the key of the table service.
        json: Print JSON.
    """
    return run_command(submit_file(file, table, expect, by, key_file), json)


def settle(
    claim: tuple[str, str, str],
    *,
    table: str,
    status: int,
    by: str,
    key_file: str = '',
    json: bool = False,
) -> int:
    """Settle a claim whose outcome is unknown, once the accounting records show it.

    Refused if a response exists, and while the claim's holder may still run the
    work. Takes up to 150 s if the holder's announcement is still in the table.

    Args:
        claim: Service, tenant and idempotency key of the call; the tenant is
            ``default`` if the call named none.
        table: URL of the platform's table service.
        status: HTTP status that later resends receive, 200 to 599, if the work ran;
            0 if it did not run, after which resends with the key are refused.
        by: Name of the operator, stored with the claim.
        key_file: File with the key of the table service.
        json: Print JSON.
    """
    name = ClaimName(*claim)
    verdict = Verdict(status, by)
    return run_command(settle_claim(name, table, verdict, key_file), json)


def show_sheet(*, node: str, key_file: str, json: bool = False) -> int:
    """Show the sheet in force at a node.

    Args:
        node: host:port of the node's operator listener.
        key_file: File with the operator key.
        json: Print JSON.
    """
    return run_command(call_node(sheet_report, node, key_file), json)


def members(*, node: str, key_file: str, json: bool = False) -> int:
    """List the members that a node knows.

    Args:
        node: host:port of the node's operator listener.
        key_file: File with the operator key.
        json: Print JSON.
    """
    return run_command(call_node(member_report, node, key_file), json)


def limits(*, node: str, key_file: str, json: bool = False) -> int:
    """Show the load and the limits of a node.

    Args:
        node: host:port of the node's operator listener.
        key_file: File with the operator key.
        json: Print JSON.
    """
    return run_command(call_node(limit_report, node, key_file), json)


def drains(*, node: str, key_file: str, json: bool = False) -> int:
    """List the draining members that a node knows.

    Args:
        node: host:port of the node's operator listener.
        key_file: File with the operator key.
        json: Print JSON.
    """
    return run_command(call_node(drain_report, node, key_file), json)


def drain(*, node: str, key_file: str, json: bool = False) -> int:
    """Ask a node to finish its calls, accept no new ones and exit.

    Args:
        node: host:port of the node's operator listener.
        key_file: File with the operator key.
        json: Print JSON.
    """
    return run_command(call_node(start_drain, node, key_file), json)


COMMANDS = (
    check_settings,
    check_sheet,
    submit,
    settle,
    show_sheet,
    members,
    limits,
    drains,
    drain,
    explain,
    explain_route,
)


def main() -> None:
    """Run the command that the arguments name and exit with its code."""
    sys.exit(run(sys.argv[1:]))


def run(arguments: list[str]) -> int:
    """Run a command.

    Args:
        arguments: Command line without the program name.

    Returns:
        The exit code.

    Raises:
        SystemExit: With code 2 if the arguments are wrong.
    """
    return defopt.run(
        list(COMMANDS),
        argv=arguments,
        no_negated_flags=True,
        argparse_kwargs={'prog': 'gentianmillctl', 'epilog': EXIT_CODE_HELP},
    )
