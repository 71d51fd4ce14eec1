"""Reading and checking the operators' S-expression file."""

from pathlib import Path

import pytest
import sexpdata
from hypothesis import given
from hypothesis import strategies as st

from ashtray.cli import main
from ashtray.config.operators import SETTINGS, OperatorSettings, load_operator_settings
from ashtray.config.settings import SettingsError


def load(directory: Path, text: str) -> OperatorSettings:
    file = directory / "operators.sexp"
    file.write_text(text)
    return load_operator_settings(str(file))


def test_every_setting_has_a_default_within_its_range():
    settings = OperatorSettings()
    for setting in SETTINGS.values():
        value = getattr(settings, setting.field)
        if isinstance(value, bool):
            assert setting.read([sexpdata.Symbol("yes" if value else "no")]) is value
        elif value is not None and not isinstance(value, tuple):
            assert setting.read([value]) == value


def test_settings_are_read(tmp_path: Path):
    settings = load(tmp_path, "(ashtray (group-size 8) ; eight\n (rules packing trust) (weights 1 2 0.5))")
    assert (settings.group_size, settings.rules, settings.weights) == (8, ("packing", "trust"), (1.0, 2.0, 0.5))
    assert load(tmp_path, "(ashtray)") == OperatorSettings()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("(ashtray\n  (group-size 0))", "line 2, column 4: group-size: expected a whole number from 1 to 1000"),
        ("(ashtray\n  ; (colour 1)\n  (colour 3))", "line 3, column 4: unknown setting colour"),
        ("(ashtray (patience 1)\n (patience 2))", "line 2, column 3: patience is set twice"),
        ("(ashtray (rules trust trust))", "rules: expected any of"),
        ("(ashtray (weights 1 2))", "weights: expected three numbers"),
        ("(ashtray (avoidance-cap 1.5))", "avoidance-cap"),
        ("(ashtray (keep-estimates 1))", "keep-estimates: expected yes or no"),
        ("(ashtray 3)", "expected (setting value ...)"),
        ("(other)", "expected (ashtray ...)"),
        ("(ashtray", "not an S-expression"),
    ],
)
def test_errors_name_the_setting_and_its_position(tmp_path: Path, text: str, expected: str):
    with pytest.raises(SettingsError) as caught:
        load(tmp_path, text)
    assert expected in str(caught.value)
    assert "\n" not in str(caught.value)


def test_a_group_size_over_the_value_limit_is_refused(tmp_path: Path, capsys: pytest.CaptureFixture[str]):
    config, operators = tmp_path / "settings.toml", tmp_path / "operators.sexp"
    config.write_text(
        'host_name = "berth-0"\napi_addr = "127.0.0.1:1"\ncluster_listen = "127.0.0.1:2"\n'
        '[services]\ncloud = "127.0.0.1:3"\nstate = "127.0.0.1:4"\n[cluster]\nzones = ["a"]\n'
        "[cluster.workers]\nreport_s = 2.0\nlease_s = 10.0\ngang_wait_s = 20.0\ngang_peer_s = 3.0\n"
        "cancel_s = 30.0\n[cluster.cloud]\nrps = 5.0\nlist_lag_s = 2.0\n"
        "[cluster.state]\nrps = 100.0\nwrite_rps = 25.0\nvalue_kb = 32.0\ntxn_ops = 16\n"
        "[cluster.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 5\n"
    )
    command = ["check", "--config", str(config), "--operators", str(operators)]
    operators.write_text("(ashtray (group-size 11))")
    assert main(command) == 0
    operators.write_text("(ashtray\n  (group-size 12))")
    assert main(command) == 2
    assert "line 2, column 4: group-size: 12 machines do not fit a value" in capsys.readouterr().err


@given(st.text(alphabet="()ashtry 01.;\n\"'-", max_size=40))
def test_any_text_is_read_or_refused_in_one_line(tmp_path_factory, text):
    try:
        load(tmp_path_factory.mktemp("s"), text)
    except SettingsError as error:
        assert "\n" not in str(error)
