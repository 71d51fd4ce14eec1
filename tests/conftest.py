"""Settings of the whole test suite: reproducible generated inputs, and the handling of known failures."""

import pytest
from hypothesis import settings

from tests import known_red

settings.register_profile("steady", derandomize=True, deadline=None, database=None)
# For other generated inputs than those of the checks: pytest --hypothesis-profile=wide --hypothesis-seed=N
settings.register_profile("wide", deadline=None, database=None)
settings.load_profile("steady")


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as expected failures, so that a pass is an error.

    The run ends with an error if a collected file does not contain a test that is listed for it.
    """
    try:
        listed = known_red.load_list()
    except known_red.InvalidList as error:
        raise pytest.UsageError(f"KNOWN-RED.txt: {error}") from error
    by_id = {item.nodeid: item for item in items}
    whole_files = not any("::" in argument for argument in config.args)
    files = {item.nodeid.partition("::")[0] for item in items if whole_files}
    for entry in listed:
        item = by_id.get(entry.test)
        if item is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.cause} ({entry.issue})", strict=True))
        elif entry.test.partition("::")[0] in files:
            raise pytest.UsageError(f"KNOWN-RED.txt: test {entry.test} does not exist")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that failed as expected."""
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"known red: {report.nodeid}: {report.wasxfail}")
