"""Parts of the scheduler that a deployment can switch on or off.

Each part has a switch in the settings of the node. ``auto`` switches it on where the
configuration and the platform's settings ask for it, so that a deployment without the
matter that a part is for is served as if the part did not exist.
"""

import dataclasses
import enum

from cranberrywheel.submission.model import Configuration
from cranberrywheel.submission.platform_timing import PlatformTiming


class Switch(enum.Enum):
    """Value of a switch in the settings."""

    AUTO = "auto"
    ON = "on"
    OFF = "off"

    def resolve(self, wanted: bool) -> bool:
        """Return whether the part is on.

        :param wanted: whether the deployment's configuration asks for it.
        """
        return wanted if self is Switch.AUTO else self is Switch.ON


@dataclasses.dataclass(frozen=True, kw_only=True)
class FeatureSettings:
    """Switches of all parts, as an operator sets them; see :class:`Features`."""

    zone_evacuation: Switch = Switch.AUTO
    fair_shares: Switch = Switch.AUTO
    admission: Switch = Switch.AUTO
    preemption: Switch = Switch.AUTO
    failing_executors: Switch = Switch.AUTO
    turn_forecast: Switch = Switch.AUTO
    interference: Switch = Switch.AUTO


#: Settings under which no part is on.
ALL_OFF = FeatureSettings(
    **{field.name: Switch.OFF for field in dataclasses.fields(FeatureSettings)}
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Features:
    """Parts that are on.

    :param zone_evacuation: operators may ask that nothing more is started in an
        availability zone.
    :param fair_shares: organisations share a contended pool by what they use.
    :param admission: submissions that cannot be served in time are refused at once.
    :param preemption: short work of a less urgent queue makes room for urgent work.
    :param failing_executors: executors that fail each run at once get no task with a
        last attempt.
    :param turn_forecast: machines move to a pool ahead of its next burst.
    :param interference: images that slow each other down are kept apart.
    """

    zone_evacuation: bool = False
    fair_shares: bool = False
    admission: bool = False
    preemption: bool = False
    failing_executors: bool = False
    turn_forecast: bool = False
    interference: bool = False


NO_FEATURES = Features()


def has_zone_evacuation(settings: FeatureSettings, timing: PlatformTiming) -> bool:
    """Tell whether operators may evacuate zones, whatever the configuration holds."""
    return settings.zone_evacuation.resolve(timing.evacuation_ms > 0)


def select_features(
    settings: FeatureSettings, configuration: Configuration, timing: PlatformTiming
) -> Features:
    """Return the parts that are on under a configuration."""
    queues = configuration.queues_by_key.values()
    organisations = configuration.organisations_by_name.values()
    has_objectives = any(queue.objective_ms > 0 for queue in queues)
    has_standby = any(
        service.standby for service in configuration.services_by_name.values()
    )
    priorities_by_service: dict[str, set[int]] = {}
    for queue in queues:
        priorities_by_service.setdefault(queue.service, set()).add(queue.priority)
    return Features(
        zone_evacuation=has_zone_evacuation(settings, timing),
        fair_shares=settings.fair_shares.resolve(len(organisations) > 1),
        admission=settings.admission.resolve(has_objectives),
        preemption=settings.preemption.resolve(
            any(len(priorities) > 1 for priorities in priorities_by_service.values())
        ),
        failing_executors=settings.failing_executors.resolve(has_objectives),
        turn_forecast=settings.turn_forecast.resolve(has_standby),
        interference=settings.interference.resolve(True),
    )
