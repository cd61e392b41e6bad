"""Tests of the capacity measurements."""

import json

import pytest

from bench.capacity.core import MEASURES, find_measure
from bench.capacity.figures import Figure, print_figure
from bench.capacity.samples import make_full_size_folder
from radishtally.configuration.merger import Merger


@pytest.mark.parametrize("name", MEASURES)
def test_every_measurement_can_be_imported(name):
    assert callable(find_measure(name))


def test_figure_is_printed_with_command_and_load_average(capsys):
    print_figure("links", Figure("message, send", 33.791, "us", {"data_bytes": 40}))
    line = json.loads(capsys.readouterr().out)
    assert line["command"] == "script/capacity links"
    assert line["value"] == 33.79
    assert line["quiet"] == (line["load_average"] < 4.0) or line["load_average"] == 4.0


def test_full_size_folder_has_the_expected_counts():
    files = make_full_size_folder()
    merged = Merger().merge(files)
    assert merged.is_ok()
    assert len(files) == 277
    assert len(merged.ok.teams) == 27_000
    assert len(merged.ok.upstreams) == 34
    assert sum(len(one.servers) for one in merged.ok.upstreams.values()) == 1_400
