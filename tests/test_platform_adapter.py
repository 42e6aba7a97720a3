"""Decoding of records that the platform, operators and executors write."""

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


def test_executor_entry_is_decoded():
    """Guards against an executor that loses its rack, boot or machine."""
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
def test_invalid_executor_entry_is_ignored(value):
    """Guards against one invalid entry that prevents the decoding of all others."""
    assert decode_executor("i-1", value) is None


def test_longest_prefix_selects_the_queue():
    """Guards against a path that is routed to the queue of a shorter prefix."""
    routes = [
        {"name": "a", "host": "h", "prefix": "/q/", "service": "s"},
        {"name": "b", "host": "h", "prefix": "/q/deep/", "service": "s"},
    ]
    value = json.dumps({"version": 3, "routes": routes, "unknown": 1}).encode()
    configuration = decode_configuration(value)
    assert configuration.find_queue("h", "/q/deep/1").name == "b"
    assert configuration.find_queue("h", "/q/1").name == "a"
    assert configuration.find_queue("other", "/q/1") is None


def test_invalid_configuration_is_rejected():
    """Guards against a configuration that is applied in part."""
    with pytest.raises(ValueError):
        decode_configuration(b'{"version": "x"}')


def test_invalid_wave_is_ignored():
    """Guards against an invalid wave that stops all maintenance of a leader."""
    assert decode_wave(b"{}") is None
    wave = {"wave": 2, "machines": ["m"], "durationS": 1.5, "cap": 0}
    assert decode_wave(json.dumps(wave).encode()).max_concurrent == 1


def test_settings_errors_name_the_file_and_the_field(tmp_path, monkeypatch):
    """Guards against a process that starts with unusable settings."""
    path = tmp_path / "settings.json"
    path.write_text('{"nodeName": "n"}')
    with pytest.raises(SettingsError, match=r"settings\.json: ip"):
        load_settings(str(path))
    monkeypatch.delenv("CRANBERRYWHEEL_BOOT", raising=False)
    with pytest.raises(SettingsError, match="is not set"):
        load_settings()


def test_standard_platform_module_stays_importable():
    """Guards against the package ``platform`` hiding the standard module."""
    import platform

    assert platform.python_version()
