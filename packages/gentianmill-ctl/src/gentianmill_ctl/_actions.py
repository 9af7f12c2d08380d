"""Actions of the commands, run after their arguments are parsed."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import Any

import aiohttp

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_file import is_host_port, is_http_url
from gentianmill_ctl.check import read_file, read_sheet
from gentianmill_ctl.explain import explain_request
from gentianmill_ctl.operator_client import OperatorClient
from gentianmill_ctl.result import (
    ExitCode,
    Result,
    exit_code,
    print_error,
    print_result,
)
from gentianmill_ctl.route_report import RouteQuestion, route_report
from gentianmill_ctl.settle import ClaimName, Settlement, Verdict
from gentianmill_ctl.submit import Submission, new_sheet
from gentianmill_ctl.table_access import TableAccess

MAX_VERSION = 2**53
TIMEOUT = aiohttp.ClientTimeout(total=5)

NodeRequest = Callable[[OperatorClient], Awaitable[Result]]


def run_command(command: Coroutine[Any, Any, Result], as_json: bool) -> int:
    """Run a command, print its result or error and return the exit code."""
    try:
        result = asyncio.run(command)
    except GentianmillError as error:
        print_error(error, as_json)
        return exit_code(error)
    print_result(result, as_json)
    return ExitCode.success


async def run_check(check: Callable[[str], Result], file_name: str) -> Result:
    """Run a check of a file; make no connection."""
    return check(file_name)


async def run_explain(request_id: str, file_names: list[str]) -> Result:
    """Read logs and return the lines that concern a request."""
    return explain_request(request_id, file_names)


async def submit_file(
    file_name: str, table: str, expect: int, by: str, key_file: str
) -> Result:
    """Check a sheet and submit it.

    Raises:
        GentianmillError: With the code that decides the exit code.
    """
    _check_table(table)
    if not 0 <= expect <= MAX_VERSION:
        raise _usage_error(str(expect), f'--expect is not between 0 and {MAX_VERSION}')
    _check_operator(by)
    model, text = read_sheet(file_name)
    async with _open_table(table, key_file) as access:
        return await Submission(access, model, new_sheet(text, expect, by)).send()


async def settle_claim(
    name: ClaimName, table: str, verdict: Verdict, key_file: str
) -> Result:
    """Settle a claim whose outcome is unknown.

    Raises:
        GentianmillError: With the code that decides the exit code.
    """
    _check_table(table)
    _check_operator(verdict.by)
    async with _open_table(table, key_file) as access:
        return await Settlement(access, name, verdict).send()


async def call_node(request: NodeRequest, node: str, key_file: str) -> Result:
    """Send a request to the operator listener of a node.

    Raises:
        GentianmillError: With the code that decides the exit code.
    """
    if not is_host_port(node):
        raise _usage_error(node, '--node is not host:port')
    key = _read_key(key_file)
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        return await request(OperatorClient(node, session, key))


async def ask_route(node: str, question: RouteQuestion) -> Result:
    """Ask a node where a request would go; the request is not sent.

    Raises:
        GentianmillError: With the code that decides the exit code.
    """
    if not is_host_port(node):
        raise _usage_error(node, '--node is not host:port')
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        return await route_report(node, session, question)


@contextlib.asynccontextmanager
async def _open_table(table: str, key_file: str) -> AsyncIterator[TableAccess]:
    key = _read_key(key_file) if key_file else ''
    async with aiohttp.ClientSession(timeout=TIMEOUT) as session:
        yield TableAccess(table, session, key)


def _check_table(table: str) -> None:
    if not is_http_url(table):
        raise _usage_error(table, '--table is not an http or https URL')


def _check_operator(by: str) -> None:
    if not by.strip():
        raise _usage_error(by, '--by is empty')


def _read_key(file_name: str) -> str:
    key = read_file(file_name).strip()
    if not key or not all(0x21 <= byte <= 0x7E for byte in key):
        raise _usage_error(file_name, 'the key file is not one line of printable ASCII')
    return key.decode()


def _usage_error(found: str, message: str) -> GentianmillError:
    return GentianmillError(ErrorCode.bad_request, 'arguments', found, message)
