"""Check settings and sheets without a connection."""

from pathlib import Path

from gentianmill.errors import ErrorCode, GentianmillError
from gentianmill.settings_file import SettingsFileError, load_settings
from gentianmill.sheet_file import SheetFileError, load_sheet
from gentianmill.file_problem import FileProblem
from gentianmill.sheet_models import SheetModel
from gentianmill_ctl.result import Result

MAX_READ_BYTES = 1024 * 1024 + 1
"""One byte above the size limit, so that the checks can detect a file over it."""


def check_settings_file(file_name: str) -> Result:
    """Check the settings of a node.

    Raises:
        GentianmillError: With code ``bad_settings`` for each problem of the
            content, ``bad_request`` if the file cannot be read.
    """
    raw = read_file(file_name)
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        raise SettingsFileError([_not_utf8(file_name, raw, error)]) from error
    settings = load_settings(text, file_name)
    fields = {
        'file': file_name,
        'service': settings.upstream.service,
        'endpoint': settings.upstream.endpoint,
    }
    return Result(fields, [f'{file_name}: settings are valid'])


def check_sheet_file(file_name: str) -> Result:
    """Check a planning sheet.

    Raises:
        GentianmillError: With code ``bad_sheet`` for each problem of the
            content, ``bad_request`` if the file cannot be read.
    """
    sheet, _ = read_sheet(file_name)
    count = sum(len(service.operations) for service in sheet.services.values())
    fields = {
        'file': file_name,
        'deployment': sheet.deployment,
        'services': len(sheet.services),
        'operations': count,
    }
    summary = f'{len(sheet.services)} services, {count} operations'
    return Result(fields, [f'{file_name}: sheet is valid ({summary})'])


def read_sheet(file_name: str) -> tuple[SheetModel, str]:
    """Read and check a planning sheet; return it and its text."""
    raw = read_file(file_name)
    try:
        text = raw.decode()
    except UnicodeDecodeError as error:
        raise SheetFileError([_not_utf8(file_name, raw, error)]) from error
    return load_sheet(text, file_name), text


def read_file(file_name: str) -> bytes:
    """Read the start of a file, at most one byte more than 1 MiB.

    Raises:
        GentianmillError: With code ``bad_request`` if it cannot be read.
    """
    try:
        with Path(file_name).open('rb') as file:
            return file.read(MAX_READ_BYTES)
    except (OSError, ValueError) as error:
        message = f'the file cannot be read: {error}'
        raise GentianmillError(
            ErrorCode.bad_request, 'read_file', file_name, message
        ) from error


def _not_utf8(file_name: str, raw: bytes, error: UnicodeDecodeError) -> FileProblem:
    line = raw.count(b'\n', 0, error.start) + 1
    return FileProblem(
        file_name, line, '', 'text in UTF-8', f'the byte 0x{raw[error.start]:02x}'
    )
