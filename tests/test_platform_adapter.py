"""Decoding of what the platform, operators and executors write."""

import json

import pytest

from cranberrywheel.errors import SettingsError
from cranberrywheel.platform.configuration import decode_configuration
from cranberrywheel.platform.executors import decode_executor
from cranberrywheel.platform.machines import decode_wave
from cranberrywheel.platform.settings import load_settings

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "state": "ready",
    "capacity": {"cpu": 1_000, "memMb": 10, "gpu": 0},
    "labels": ["a", "r1-2"],
    "machine": "m-1",
    "born": 5,
}


def test_entry_is_decoded():
    """An executor without its rack, boot or machine."""
    entry = decode_executor("i-1", json.dumps(ENTRY).encode())
    assert (entry.rack, entry.boot, entry.machine) == ("r1-2", 5, "m-1")
    assert entry.capacity.memory_mb == 10 and not entry.draining


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"{}",
        b"[1]",
        json.dumps({**ENTRY, "state": "dancing"}).encode(),
        json.dumps({**ENTRY, "capacity": "much"}).encode(),
        json.dumps({**ENTRY, "address": None}).encode(),
    ],
)
def test_entry_of_another_writer_names_no_executor(value):
    """One unreadable entry that stops the handling of all others."""
    assert decode_executor("i-1", value) is None


def test_longest_prefix_selects_the_queue():
    """A path that is taken for the queue of a shorter prefix."""
    routes = [
        {"name": "a", "host": "h", "prefix": "/q/", "service": "s"},
        {"name": "b", "host": "h", "prefix": "/q/deep/", "service": "s"},
    ]
    value = json.dumps({"version": 3, "routes": routes, "unknown": 1}).encode()
    configuration = decode_configuration(value)
    assert configuration.find_queue("h", "/q/deep/1").name == "b"
    assert configuration.find_queue("h", "/q/1").name == "a"
    assert configuration.find_queue("other", "/q/1") is None


def test_unreadable_configuration_is_refused():
    """A configuration that is taken half."""
    with pytest.raises(ValueError):
        decode_configuration(b'{"version": "x"}')


def test_unreadable_wave_is_left_out():
    """A wave that ends the duties of a leader."""
    assert decode_wave(b"{}") is None
    wave = {"wave": 2, "machines": ["m"], "durationS": 1.5, "cap": 0}
    assert decode_wave(json.dumps(wave).encode()).max_concurrent == 1


def test_settings_errors_name_file_field_and_remedy(tmp_path, monkeypatch):
    """A process that starts with settings it cannot use."""
    path = tmp_path / "settings.json"
    path.write_text('{"nodeName": "n"}')
    with pytest.raises(SettingsError, match=r"settings\.json: ip"):
        load_settings(str(path))
    monkeypatch.delenv("CRANBERRYWHEEL_BOOT", raising=False)
    with pytest.raises(SettingsError, match="is not set"):
        load_settings()


def test_standard_platform_module_stays_importable():
    """A package named platform that hides the standard module."""
    import platform

    assert platform.python_version()
