"""Test the tool that measures capacity."""

import json

import pytest

from bench.capacity.core import MEASURES, find_measure
from bench.capacity.figures import Figure, print_figure
from bench.capacity.samples import make_full_size_folder
from radishtally.configuration.merger import Merger


@pytest.mark.parametrize("name", MEASURES)
def test_every_measure_can_be_found(name):
    assert callable(find_measure(name))


def test_a_figure_is_a_line_with_its_command_and_the_load(capsys):
    print_figure("links", Figure("message, send", 33.791, "us", {"data_bytes": 40}))
    line = json.loads(capsys.readouterr().out)
    assert line["command"] == "script/capacity links"
    assert line["value"] == 33.79
    assert line["quiet"] == (line["load_average"] < 4.0) or line["load_average"] == 4.0


def test_the_letters_folder_has_its_size():
    files = make_full_size_folder()
    merged = Merger().merge(files)
    assert merged.is_ok()
    assert len(files) == 277
    assert len(merged.ok.teams) == 27_000
    assert len(merged.ok.upstreams) == 34
    assert sum(len(one.servers) for one in merged.ok.upstreams.values()) == 1_400
