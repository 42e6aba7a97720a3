"""Check of a configuration before it is sent: rules, differences and the command."""

import contextlib
import copy
import io
import json
import sys
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrywheel.configuration_check.findings import Severity
from cranberrywheel.platform.configuration import decode_configuration
from cranberrywheel.programs import config_check
from cranberrywheel.programs.config_check import check_configuration

CLEAN = {
    "version": 2,
    "routes": [
        {
            "name": "checkout",
            "host": "h",
            "prefix": "/q/",
            "service": "pool-1",
            "attempts": 3,
            "targetFactor": 1.6,
            "targetLatencyMs": 610,
            "timeoutMs": 3_000,
        },
        {"name": "deep", "host": "h", "prefix": "/q/deep/", "service": "pool-2"},
    ],
    "services": [
        {"name": "pool-1"},
        {"name": "pool-2"},
        {"name": "reserve", "standby": True},
    ],
    "tenants": [
        {"name": "a", "apiKeys": ["key-of-a"], "weight": 3, "cap": {"cpu": 64_000}},
        {"name": "b", "apiKeys": ["key-of-b"], "weight": 1},
    ],
}
MACHINES = {
    "machines": [
        {"machine": f"m-{number}", "pool": pool, "state": "up"}
        for number, pool in enumerate(["pool-1", "pool-1", "pool-2", "reserve"])
    ]
}


def edit(*path_and_value):
    """Return a copy of ``CLEAN`` with one value replaced or appended."""
    *path, last, value = path_and_value
    configuration = copy.deepcopy(CLEAN)
    target = configuration
    for part in path:
        target = target[part]
    if last == "+":
        target.append(value)
    else:
        target[last] = value
    return configuration


def check(configuration, in_force=None, machines=None):
    encode = lambda value: None if value is None else json.dumps(value).encode()
    return check_configuration(
        encode(configuration), encode(in_force), encode(machines)
    )


def test_clean_configuration_has_no_findings():
    """Guards against every rule reporting what is usual.

    The route ``/q/`` stays visible beside the longer prefix ``/q/deep/``, and a standby
    pool needs no route.
    """
    report = check(CLEAN, edit("version", 1), MACHINES)
    assert (report.findings, report.differences) == ([], [])


ROUTE = {"name": "new", "host": "h", "prefix": "/new/", "service": "pool-1"}
ERRORS = [
    (edit("version", 1), "version", "version 1 is in force"),
    (edit("version", 0), "version", "is ignored"),
    (edit("routes", "+", {**ROUTE, "name": "deep"}), "routes[2]", "same name"),
    (edit("services", "+", {"name": "pool-1"}), "services[3]", "same name"),
    (
        edit("tenants", "+", {"name": "a", "apiKeys": ["k"]}),
        "tenants[2]",
        "same name",
    ),
    (
        edit("routes", "+", {**ROUTE, "prefix": "/q/"}),
        "routes[2]",
        "same host and prefix",
    ),
    (edit("routes", 1, "service", "pool-9"), "routes[1]", "'pool-9' does not exist"),
    (
        edit("tenants", 1, "apiKeys", ["key-of-a"]),
        "tenants[1]",
        "belongs to 'a' too",
    ),
    (edit("tenants", 1, "apiKeys", [""]), "tenants[1]", "is empty"),
]


@pytest.mark.parametrize(("configuration", "place", "message"), ERRORS)
def test_error_is_found(configuration, place, message):
    """Guards against sending what is ignored or served differently than written."""
    report = check(configuration, edit("version", 1))
    (found,) = [
        row
        for row in report.findings
        if row.severity is Severity.ERROR and message in row.message
    ]
    assert found.place.startswith(place) and found.remedy
    assert report.exit_code == 2


WARNINGS = [
    (edit("routes", 1, "prefix", "q/"), "routes[1]", "No path begins"),
    (edit("routes", 1, "host", ""), "routes[1]", "No call has the host"),
    (edit("services", "+", {"name": "idle"}), "services[3]", "No route leads"),
    (edit("routes", 1, "service", "reserve"), "routes[1]", "is a standby pool"),
    (edit("routes", 0, "timeoutMs", 609), "routes[0]", "beyond the time limit"),
    (edit("routes", 0, "timeoutMs", -1), "routes[0]", "shortest time"),
    (edit("routes", 0, "targetLatencyMs", -1), "routes[0]", "cannot be met"),
    (edit("routes", 0, "targetFactor", -0.5), "routes[0]", "cannot be met"),
    (edit("routes", 0, "attempts", 0), "routes[0]", "attempts is 0"),
    (edit("tenants", 0, "weight", 0), "tenants[0]", "gives no share"),
    (edit("tenants", 0, "weight", -2), "tenants[0]", "gives no share"),
    (edit("tenants", 0, "weight", float("nan")), "tenants[0]", "gives no share"),
    (edit("tenants", 0, "cap", {"cpu": -1}), "tenants[0]", "negative amount"),
    (edit("tenants", 0, "apiKeys", []), "tenants[0]", "has no API key"),
    (edit("tenants", 0, "apiKeys", [" k"]), "tenants[0]", "white space"),
    (edit("tenants", 0, "name", ""), "tenants[0]", "has no name"),
    (edit("limits", {"maxBodyBytes": 0}), "limits.maxBodyBytes", "refuses every"),
]


@pytest.mark.parametrize(("configuration", "place", "message"), WARNINGS)
def test_warning_is_found(configuration, place, message):
    """Guards against entries without the effect that they seem to have."""
    report = check(configuration)
    (found,) = [row for row in report.findings if message in row.message]
    assert found.severity is Severity.WARNING
    assert found.place.startswith(place) and found.remedy
    assert report.exit_code == 1


@pytest.mark.parametrize(
    "configuration",
    [
        edit("routes", 0, "timeoutMs", 610),
        edit("routes", 0, "timeoutMs", 0),
        edit("routes", 0, "attempts", 1),
        edit("routes", 0, "targetLatencyMs", 0),
        edit("routes", "+", {**ROUTE, "host": "h:8080", "prefix": "/q/"}),
        edit("routes", "+", {**ROUTE, "prefix": ""}),
        edit("tenants", 0, "apiKeys", ["key-of-a", "key-of-a"]),
        edit("tenants", 0, "weight", 0.001),
        edit("version", 1),
    ],
)
def test_edge_values_are_not_reported(configuration):
    """Guards against rules that are one too strict, and are then ignored."""
    assert check(configuration).findings == []


def test_organisation_without_key_is_not_reported_beside_a_public_route():
    """Guards against a warning where callers need no key."""
    configuration = edit("tenants", 0, "apiKeys", [])
    configuration["routes"][0]["public"] = True
    assert check(configuration).findings == []


def test_identical_routes_are_served_by_both():
    """Guards against a message that misstates which of two identical routes counts."""
    configuration = decode_configuration(
        json.dumps(edit("routes", "+", {**ROUTE, "prefix": "/q/"})).encode()
    )
    assert configuration.find_queue("h", "/q/1").name == "checkout"
    assert configuration.queues_by_key["h /q/"].name == "new"


def test_keys_are_never_shown():
    """Guards against API keys in a report, which goes into tickets and logs."""
    shared = edit("tenants", 1, "apiKeys", ["key-of-a", 17_171_717])
    reports = [check(edit("tenants", 1, "apiKeys", ["key-of-a"]), CLEAN), check(shared)]
    for report in reports:
        text = json.dumps(report.build_json()) + "\n".join(report.format_lines())
        assert "key-of" not in text and "17171717" not in text


def list_messages(configuration, machines):
    report = check(configuration, machines=machines)
    assert all(row.severity is Severity.WARNING for row in report.findings)
    return [(row.place.split()[0], row.message) for row in report.findings]


def remove_pools(*pools):
    return {
        "machines": [row for row in MACHINES["machines"] if row["pool"] not in pools]
    }


def test_pools_without_machines_are_found():
    """Guards against queues whose work waits for machines that do not exist."""
    ((place, message),) = list_messages(CLEAN, remove_pools("pool-2"))
    assert place == "services[1]" and "only capacity" in message
    assert "'reserve'" in message
    messages = list_messages(CLEAN, remove_pools("pool-2", "reserve"))
    assert [place for place, _ in messages] == ["services[1]", "services[2]"]
    assert messages[0][1] == "The service has no machine."
    assert "no reserve" in messages[1][1]


def test_machines_in_an_unknown_pool_are_found():
    """Guards against machines that are lost to all queues by a misspelt pool."""
    extra = {"machine": "m-9", "pool": "poll-1", "state": "up"}
    machines = {"machines": [*MACHINES["machines"], extra]}
    ((_, message),) = list_messages(CLEAN, machines)
    assert "'poll-1'" in message


def test_first_page_of_the_machines_is_not_taken_for_all():
    """Guards against pools reported as empty whose machines are on a later page."""
    machines = {**remove_pools("pool-2"), "nextPageToken": "2"}
    ((_, message),) = list_messages(CLEAN, machines)
    assert "further pages" in message


@pytest.mark.parametrize(
    ("quota", "size", "is_found"),
    [
        (749, None, True),
        (750, None, False),
        (47_999, 64_000, True),
        (48_000, 64_000, False),
        (0, 64_000, False),
    ],
)
def test_quota_below_the_share_of_the_smallest_pool_is_found(quota, size, is_found):
    """Guards against a weight without effect, and against a quota of 0 (no limit).

    The weight 3 of 4 is worth three quarters of the single machine of ``pool-2``.
    """
    machines = copy.deepcopy(MACHINES)
    if size:
        for row in machines["machines"]:
            row["capacity"] = {"cpu": size}
    messages = list_messages(edit("tenants", 0, "cap", {"cpu": quota}), machines)
    assert len(messages) == is_found
    assert all("'pool-2'" in message for _, message in messages)


def test_quota_of_a_single_organisation_is_not_compared():
    """Guards against a warning about shares where nothing is shared."""
    configuration = edit("tenants", 0, "cap", {"cpu": 1})
    del configuration["tenants"][1]
    assert list_messages(configuration, MACHINES) == []


@pytest.mark.parametrize(
    ("value", "place"),
    [
        (b"", "configuration"),
        (b"{", "configuration"),
        (b"\xff", "configuration"),
        (b"[]", "configuration"),
        (b"{}", "configuration: version"),
        (b'{"version": "x"}', "configuration: version"),
        (b'{"version": 1, "routes": [{"name": "a"}]}', "configuration: routes[0].host"),
        (
            b'{"version": 1, "tenants": [{"name": "a", "cap": {"cpu": "many"}}]}',
            "configuration: tenants[0].cap.cpu",
        ),
    ],
)
def test_refused_text_is_an_error_with_its_place(value, place):
    """Guards against a text that the processes ignore without the operator's notice."""
    report = check_configuration(value)
    assert report.findings[0].place == place and report.findings[0].remedy
    assert report.exit_code == 2


def test_faults_of_the_other_files_are_errors():
    """Guards against a check that silently leaves out half of its rules."""
    report = check_configuration(json.dumps(CLEAN).encode(), b"{}", b"{}")
    places = [row.place for row in report.findings]
    assert places == ["--in-force: version", "--machines: machines"]
    assert report.exit_code == 2 and report.differences is None


DIFFERENCES = [
    (edit("tenants", 0, "apiKeys", []), "withdrawn", "refused (401)"),
    (edit("tenants", 1, "apiKeys", ["key-of-b", "x"]), "granted", "are accepted"),
    (edit("routes", "+", ROUTE), "added: 'h' '/new/'", "New calls"),
    (edit("routes", CLEAN["routes"][:1]), "removed: 'h' '/q/deep/'", "attempts and"),
    (edit("routes", 0, "name", "till"), "renamed from 'checkout'", "logs"),
    (edit("routes", 0, "service", "pool-2"), "moved from service", "finish where"),
    (edit("routes", 0, "priority", 5), "priority 0 -> 5", "reordered at once"),
    (edit("routes", 0, "attempts", 2), "attempts 3 -> 2", "fails its submission"),
    (edit("routes", 0, "attempts", 4), "attempts 3 -> 4", "may fail more often"),
    (edit("routes", 0, "targetFactor", 2), "objective 1.6 x", "reordered by"),
    (edit("routes", 0, "targetLatencyMs", 9), "objective 1.6 x", "reordered by"),
    (edit("routes", 0, "timeoutMs", 9), "time limit 3000 -> 9 ms", "new calls"),
    (edit("routes", 0, "public", True), "becomes public", "are accepted"),
    (edit("routes", 0, "advisor", {}), "advisor is asked", "advisor allows"),
    (
        edit("routes", 0, "advisor", {"decisionMs": 150, "periodMs": 10}),
        "advisor is asked",
        "advisor allows",
    ),
    (edit("services", 1, "standby", True), "becomes a standby pool", "switched off"),
    (edit("services", 2, "standby", False), "no longer a standby", "paid for"),
    (edit("services", "+", {"name": "s"}), "added", "None until"),
    (edit("services", CLEAN["services"][1:]), "removed", "is an error"),
    (edit("tenants", 0, "weight", 2), "weight 3.0 -> 2.0", "No run is stopped"),
    (edit("tenants", 0, "cap", {"cpu": 9}), "quota cpu 64000", "nothing is started"),
    (edit("tenants", 1, "cap", {"cpu": 9}), "quota none ->", "nothing is started"),
    (edit("tenants", 0, "cap", {}), "-> none", "may start at once"),
    (edit("tenants", "+", {"name": "c"}), "added with weight 1.0", "shrink"),
    (edit("tenants", CLEAN["tenants"][:1]), "removed", "without a quota"),
    (edit("limits", {"maxBodyBytes": 9}), "262144 -> 9", "refused (413)"),
]


@pytest.mark.parametrize(("configuration", "change", "effect"), DIFFERENCES)
def test_difference_is_listed_with_its_effect(configuration, change, effect):
    """Guards against a change that reaches running work without a word about it."""
    differences = check(configuration, CLEAN).differences
    (found,) = [
        row for row in differences if change in row.change and effect in row.effect
    ]
    # A tenant that is removed takes its key along.
    others = [row for row in differences if row is not found]
    assert all("key" in row.change for row in others)


def test_changed_times_of_the_advisor_are_listed():
    """Guards against other time limits of the calls without a word about it."""
    before = edit("routes", 0, "advisor", {"decisionMs": 100})
    after = edit("routes", 0, "advisor", {"decisionMs": 150, "periodMs": 10})
    (found,) = check(after, before).differences
    assert "100 ms + 0 ms" in found.change and "150 ms + 10 ms" in found.change


def test_key_that_changes_its_organisation_is_one_difference():
    """Guards against a moved key that is reported as withdrawn."""
    configuration = edit("tenants", 0, "apiKeys", [])
    configuration["tenants"][1]["apiKeys"] = ["key-of-a", "key-of-b"]
    (found,) = check(configuration, CLEAN).differences
    assert "moved here from 'a'" in found.change and found.place == "tenant 'b'"


def run_program(*arguments, stdin=b""):
    out, err = io.StringIO(), io.StringIO()
    with (
        mock.patch.object(sys, "argv", ["cranberrywheel-config", *arguments]),
        mock.patch.object(sys, "stdin", io.TextIOWrapper(io.BytesIO(stdin))),
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(err),
    ):
        return config_check.main(), out.getvalue(), err.getvalue()


def test_command_reads_files_and_standard_input(tmp_path):
    """Guards against exit codes that let a script send a faulty configuration."""
    paths = []
    for name, value in (
        ("new", edit("services", "+", {"name": "idle"})),
        ("now", edit("version", 1)),
        ("machines", MACHINES),
    ):
        paths.append(str(tmp_path / name))
        (tmp_path / name).write_text(json.dumps(value))
    new, now, machines = paths
    assert run_program("check", "-", stdin=json.dumps(CLEAN).encode())[0] == 0
    code, out, _ = run_program("check", new, "--in-force", now, "--machines", machines)
    assert code == 1
    assert "warning: services[3] 'idle': No route" in out
    assert "changed: service 'idle': added" in out
    code, out, _ = run_program("check", now, "--in-force", new, "--json")
    result = json.loads(out)
    assert (code, result["errors"], result["warnings"]) == (2, 1, 0)
    assert result["findings"][0]["severity"] == "error"
    assert result["differences"][0]["place"] == "service 'idle'"


def test_names_are_not_read_as_markup_or_control_characters(tmp_path):
    """Guards against a name that breaks the output or hides a line of it."""
    path = tmp_path / "new"
    name = "</info><error>x\u001b[2J\n</>\u20ac"
    path.write_text(json.dumps(edit("services", "+", {"name": name})))
    code, out, _ = run_program("check", str(path))
    assert code == 1 and "\u001b" not in out
    assert repr(name) in out


def test_bad_usage_exits_with_2(tmp_path):
    """Guards against a script that takes a mistyped command for a clean check."""
    for arguments in (
        ("check",),
        ("nonsense",),
        ("check", "-", "--nonsense"),
        ("check", str(tmp_path / "absent")),
        ("check", str(tmp_path / "absent"), "--json"),
        ("check", "-", "--in-force", str(tmp_path)),
        ("check", "-", "--in-force", "-"),
        ("check", "\0"),
    ):
        code, out, err = run_program(*arguments, stdin=json.dumps(CLEAN).encode())
        assert code == 2 and out + err, arguments


def test_help_has_an_example():
    """Guards against a command that an operator cannot use without its source."""
    code, out, _ = run_program("check", "--help")
    assert code == 0 and "Example: cranberrywheel-config check" in out


NAMES = st.sampled_from(["a", "b", "", "/a", "/a/", " ", "\x00", "\u20ac"]) | st.text(
    max_size=3
)
NUMBERS = (
    st.integers(-2, 3)
    | st.integers()
    | st.just(10**400)
    | st.floats()
    | st.sampled_from(["1", None, True, "x"])
)
INTEGERS = st.integers(-2, 3) | st.just(10**400)


def build_objects(required, optional, wild):
    """Return objects of the format; with ``wild`` also with fields of other types."""
    if wild:
        other = st.none() | NUMBERS | NAMES | st.lists(NAMES, max_size=2)
        optional = {**required, **optional}
        required = {}
        optional = {key: value | other for key, value in optional.items()}
    return st.fixed_dictionaries(required, optional=optional)


def build_configurations(wild):
    routes = build_objects(
        {"name": NAMES, "host": NAMES, "prefix": NAMES, "service": NAMES},
        {
            "priority": INTEGERS,
            "attempts": INTEGERS,
            "targetFactor": st.floats(),
            "targetLatencyMs": INTEGERS,
            "timeoutMs": INTEGERS,
            "public": st.booleans(),
            "advisor": st.dictionaries(NAMES, st.floats(), max_size=1),
        },
        wild,
    )
    services = build_objects({"name": NAMES}, {"standby": st.booleans()}, wild)
    tenants = build_objects(
        {"name": NAMES},
        {
            "apiKeys": st.lists(NAMES, max_size=2),
            "weight": st.floats() | INTEGERS,
            "cap": build_objects({}, {"cpu": INTEGERS, "memMb": INTEGERS}, wild),
        },
        wild,
    )
    return build_objects(
        {"version": INTEGERS},
        {
            "routes": st.lists(routes, max_size=3),
            "services": st.lists(services, max_size=3),
            "tenants": st.lists(tenants, max_size=3),
            "limits": build_objects({}, {"maxBodyBytes": INTEGERS}, wild),
        },
        wild,
    )


MACHINE_LISTS = build_objects(
    {
        "machines": st.lists(
            st.fixed_dictionaries(
                {"machine": NAMES, "pool": NAMES, "state": NAMES},
                optional={"capacity": st.fixed_dictionaries({"cpu": INTEGERS})},
            ),
            max_size=4,
        )
    },
    {"nextPageToken": NAMES},
    False,
)
TEXTS = st.one_of(
    st.binary(),
    st.recursive(
        NUMBERS | NAMES, lambda inner: st.lists(inner) | st.dictionaries(NAMES, inner)
    ).map(lambda value: json.dumps(value).encode()),
    build_configurations(True).map(lambda value: json.dumps(value).encode()),
    build_configurations(False).map(lambda value: json.dumps(value).encode()),
)
MACHINE_TEXTS = TEXTS | MACHINE_LISTS.map(lambda value: json.dumps(value).encode())


@settings(max_examples=400, deadline=None, derandomize=True)
@given(TEXTS, st.none() | TEXTS, st.none() | MACHINE_TEXTS)
def test_no_input_raises_and_what_passes_is_decoded(value, in_force, machines):
    """Guards against a traceback, and a passed text that the processes refuse."""
    report = check_configuration(value, in_force, machines)
    "\n".join(report.format_lines()).encode()
    json.loads(json.dumps(report.build_json()))
    assert report.exit_code in (0, 1, 2)
    if not report.count(Severity.ERROR):
        decode_configuration(value)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(build_configurations(False))
def test_what_passes_loses_nothing_in_the_decoder(configuration):
    """Guards against an entry that the decoder drops without an error of the check.

    The version and the services of the routes are completed, since few generated
    configurations would pass otherwise.
    """
    configuration["version"] = 1
    services = configuration.setdefault("services", [])
    names = {service["name"] for service in services}
    used = {route["service"] for route in configuration.get("routes", [])}
    services.extend({"name": name} for name in sorted(used - names))
    value = json.dumps(configuration).encode()
    if check_configuration(value).count(Severity.ERROR):
        return
    decoded = decode_configuration(value)
    routes = configuration.get("routes", [])
    assert len(decoded.queues_by_key) == len(routes)
    assert len(decoded.services_by_name) == len(configuration.get("services", []))
    tenants = configuration.get("tenants", [])
    assert len(decoded.organisations_by_name) == len(tenants)
    for tenant in tenants:
        for key in tenant.get("apiKeys", []):
            assert decoded.organisation_by_api_key[key] == tenant["name"]


@settings(max_examples=100, deadline=None, derandomize=True)
@given(build_configurations(False))
def test_configuration_does_not_differ_from_itself(configuration):
    """Guards against differences that are none, such as weights that are no number."""
    value = json.dumps(configuration).encode()
    assert check_configuration(value, value).differences == []
