"""Switches of the scheduler's parts."""

import dataclasses
import pathlib

import pytest

from cranberrywheel.errors import SettingsError
from cranberrywheel.settings import load_feature_settings
from cranberrywheel.submission.features import (
    ALL_OFF,
    NO_FEATURES,
    FeatureSettings,
    Switch,
    select_features,
)
from cranberrywheel.submission.model import Configuration, Queue, Service
from cranberrywheel.submission.platform_timing import PlatformTiming

DEPLOYED = pathlib.Path(__file__).resolve().parent.parent / "deploy/node.ini"


def build_configuration(queues=(), services=()):
    return Configuration(
        1,
        {},
        {queue.key: queue for queue in queues},
        {service.name: service for service in services},
        {},
        {},
    )


def test_deployed_settings_are_valid():
    """A key that the program does not know would keep every node from starting."""
    expected = FeatureSettings(admission=Switch.OFF, turn_forecast=Switch.OFF)
    assert load_feature_settings(str(DEPLOYED)) == expected


def test_unknown_switch_is_named_with_its_place_and_remedy(tmp_path):
    """An operator who mistypes a value must learn where and what to write."""
    path = tmp_path / "node.ini"
    path.write_text("[scheduling]\nadmission = yes\n")
    with pytest.raises(SettingsError, match=r"admission = 'yes'.*auto, on, off"):
        load_feature_settings(str(path))


def test_part_without_its_matter_in_the_configuration_is_off():
    """A deployment that asks for nothing new must be served as before."""
    features = select_features(
        FeatureSettings(), build_configuration(), PlatformTiming()
    )
    on = {name for name, value in dataclasses.asdict(features).items() if value}
    assert on == {"interference"}


def test_part_follows_the_configuration_and_the_platform():
    """A switch on auto must not need an operator where the configuration tells."""
    queues = [
        Queue("a", "h", "/a/", "pool", priority=0, objective_ms=600),
        Queue("b", "h", "/b/", "pool", priority=1),
    ]
    configuration = build_configuration(queues, [Service("spare", standby=True)])
    features = select_features(
        FeatureSettings(fair_shares=Switch.ON, admission=Switch.OFF),
        configuration,
        PlatformTiming(evacuation_ms=5_000),
    )
    assert features.zone_evacuation and features.preemption and features.turn_forecast
    assert features.fair_shares and not features.admission


def test_all_off_is_off_whatever_the_configuration_holds():
    """Comparisons of a part with its absence rely on the switch."""
    queues = [Queue("a", "h", "/a/", "pool", objective_ms=600)]
    configuration = build_configuration(queues, [Service("spare", standby=True)])
    timing = PlatformTiming(evacuation_ms=5_000)
    assert select_features(ALL_OFF, configuration, timing) == NO_FEATURES
