"""Tests of the checks themselves: the list of known failures, and the source texts that mutants replace."""

import pytest

from tests.known_red import MAX_TESTS, InvalidList, KnownRed, parse_list
from tests.mutants import load_mutants
from tests.mutation import ROOT


def test_a_known_failure_names_the_test_the_cause_and_the_issue():
    assert parse_list("\ntests/test_a.py::test_b | a fault | 43\n") == [
        KnownRed("tests/test_a.py::test_b", "a fault", "43")
    ]


@pytest.mark.parametrize(
    "text",
    ["tests/test_a.py::test_b", "tests/test_a.py::test_b |  | 43", "a | b | 1\n" * 4],
    ids=["no cause", "an empty cause", "too many"],
)
def test_an_invalid_list_of_known_failures_is_refused(text):
    with pytest.raises(InvalidList):
        parse_list(text)


def test_scripts_of_a_review_do_not_count_as_listed_tests():
    scripts = [f"review/{number}/run.sh | a fault | 66\n" for number in range(MAX_TESTS + 2)]
    tests = [f"tests/test_a.py::test_{number} | a fault | 66\n" for number in range(MAX_TESTS)]
    assert len(parse_list("".join([*scripts, *tests]))) == len(scripts) + len(tests)
    with pytest.raises(InvalidList):
        parse_list("".join([*scripts, *tests, "tests/test_b.py::test_c | a fault | 66\n"]))


def test_each_mutant_replaces_a_text_that_occurs_in_the_code_exactly_once():
    counts = {
        name: (ROOT / mutant.file).read_text().count(mutant.original) for name, mutant in load_mutants().items()
    }
    assert len(counts) > 80
    assert [name for name, count in counts.items() if count != 1] == []


def test_each_mutant_changes_its_text_and_names_tests_that_exist():
    for mutant in load_mutants().values():
        assert mutant.original != mutant.replacement
        assert mutant.tests and all((ROOT / test).exists() for test in mutant.tests), mutant.name
        for test in mutant.first:
            file, _, function = test.partition("::")
            assert (ROOT / file).exists(), mutant.name
            assert not function or f"def {function}(" in (ROOT / file).read_text(), mutant.name
