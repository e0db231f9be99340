"""Fleet and release files: one line for each violation with its place; and exit codes of commands."""

import json
from pathlib import Path

import pytest

from birchslip.cluster.fleet_reader import fleet_schema, read_fleet
from birchslip.cluster.release_file import read_release, release_schema
from birchslip.errors import InvalidInputError

from .decision_harness import run_command
from .planner_harness import make_fleet_document

ROOT = Path(__file__).resolve().parent.parent


def write_fleet_file(folder, document):
    path = folder / "fleet.json"
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    return path


def with_member(**fields):
    document = make_fleet_document()
    document["sites"][1]["members"][0] |= fields
    return document


INVALID_DOCUMENTS = {
    "an unknown key": (make_fleet_document(colour="red"), "unknown field `colour`"),
    "an unknown nested key": (with_member(weight=1), "`$.sites[1].members[0]`"),
    "a site without members": (
        make_fleet_document(sites=("a", "b"), members_per_site=0),
        "sites[0].members: site 'a' has no members",
    ),
    "an address twice": (with_member(address="127.0.0.1:1000"), "sites[1].members[0].address"),
    "a planner's address twice": (
        with_member(address="127.0.0.1:100"),
        "'127.0.0.1:100' is already the address of planners[0]",
    ),
    "a name twice": (with_member(name="a-0"), "the member 'a-0' is given more than once"),
    "a port out of range": (
        with_member(address="127.0.0.1:70000"),
        "the port in '127.0.0.1:70000' is not between 1 and 65535",
    ),
    "an address without a port": (with_member(address="here"), "`$.sites[1].members[0].address`"),
    "local requests that are not refused last": (
        make_fleet_document(refuse=["home", "visitor"]),
        "refuse: 'home' must be the last tier",
    ),
    "a shedding tier twice": (
        make_fleet_document(refuse=["again", "again", "home"]),
        "the tier 'again' is given more than once",
    ),
    "an unknown shedding tier": (
        make_fleet_document(refuse=["guests"]),
        "refuse[0]: no tier is named 'guests'",
    ),
    "a share above 1": (make_fleet_document(tenants={"blue": 1.5}), "`$.tenants[...]`"),
    "shares that add up to more than 1": (
        make_fleet_document(tenants={"blue": 0.7, "green": 0.5}),
        "add up to 1.200",
    ),
    "an unleased share above 1": (make_fleet_document(vault={"total": 9, "kept": 2}), "`$.vault.kept`"),
    "calls above the vault's": (with_member(calls=99.0), "vault.total: 24"),
    "a service that needs a platform": (
        make_fleet_document(services=[{"name": "store-1", "kind": "store"}]),
        "services: 'platform' is required",
    ),
    "a required service that does not exist": (
        with_member(needs=["store-1"]),
        "lists 'store-1' under 'needs'",
    ),
    "a group of an unknown kind of service": (
        make_fleet_document(groups=[{"name": "g", "kinds": ["store"], "most_out": 1}]),
        "groups[0].kinds: no service is of the kind 'store'",
    ),
    "an inventory valid for less than two polls": (
        make_fleet_document(platform={"address": "127.0.0.1:9", "ask_ms": 500, "stale_ms": 600}),
        "platform.stale_ms: 600",
    ),
    "a link to an unknown site": (
        make_fleet_document(links=[{"from": "a", "to": "z", "cost": 1}]),
        "links[0]: no site is named 'z'",
    ),
    "a plan valid for less than four reports": (make_fleet_document(plan_ms=500), "plan_ms: 500"),
    "no planners": (make_fleet_document(planners=0), "planners: the list is empty"),
    "a router at two sites": (
        make_fleet_document(sites=("a", "b"))
        | {"sites": [dict(s, routers=[1]) for s in make_fleet_document()["sites"]]},
        "router 1 is already listed at site 'a'",
    ),
    "a group twice": (
        make_fleet_document(groups=[{"name": "g", "all": True, "most_out": 1}] * 2),
        "the group 'g' is given more than once",
    ),
    "a group that covers nothing": (
        make_fleet_document(groups=[{"name": "g", "most_out": 1}]),
        "groups[0]: group 'g' covers nothing",
    ),
    "a group without a limit": (
        make_fleet_document(groups=[{"name": "g", "all": True}]),
        "group 'g' sets no limit",
    ),
    "a group with an unknown site": (
        make_fleet_document(groups=[{"name": "g", "sites": ["z"], "most_out": 1}]),
        "groups[0].sites: no site is named 'z'",
    ),
    "a group with an unknown member": (
        make_fleet_document(groups=[{"name": "g", "members": ["z-1"], "share_out": 0.5}]),
        "groups[0].members: no member is named 'z-1'",
    ),
    "malformed JSON": ("{", "fleet.json"),
    "a list instead of an object": ("[]", "Expected `object`"),
    "an empty file": ("", "fleet.json"),
}


@pytest.mark.parametrize("case", INVALID_DOCUMENTS)
def test_a_violation_is_named_with_its_place(tmp_path, case):
    document, expected = INVALID_DOCUMENTS[case]
    with pytest.raises(InvalidInputError) as error:
        read_fleet(write_fleet_file(tmp_path, document))
    assert expected in str(error.value)
    assert all(line.startswith(str(tmp_path)) for line in str(error.value).splitlines())


def test_all_violations_are_reported_at_once(tmp_path):
    document = with_member(name="a-0", address="127.0.0.1:1000") | {"refuse": ["home", "again"]}
    with pytest.raises(InvalidInputError) as error:
        read_fleet(write_fleet_file(tmp_path, document))
    assert len(str(error.value).splitlines()) == 3


def test_the_example_fleet_file_is_valid():
    assert read_fleet(ROOT / "deploy" / "fleet.json").planners


@pytest.mark.parametrize(
    ("name", "schema"),
    [("fleet", fleet_schema), ("release", release_schema)],
    ids=["fleet", "release"],
)
def test_the_published_schema_matches_the_code(name, schema):
    stored = json.loads((ROOT / "deploy" / f"{name}.schema.json").read_text())
    assert stored == json.loads(json.dumps(schema()))


def test_base_calls_are_even_except_for_members_with_their_own(tmp_path):
    bases = read_fleet(write_fleet_file(tmp_path, with_member(calls=9.0))).base_calls()
    assert bases["b-0"] == 9.0
    assert bases["a-0"] == 3.0
    assert sum(bases.values()) == 24.0


@pytest.mark.parametrize(
    ("document", "expected"),
    [
        ("{", "truncated"),
        ('{"version": "2"}', "missing required field `before`"),
        ('{"version": "2", "before": "1", "speed": 9}', "unknown field `speed`"),
        (
            '{"version": "2", "before": "2"}',
            "version: '2' is also the version in 'before'; the two must differ",
        ),
        ('{"version": "2", "before": "1", "canaries": 0}', "`$.canaries`"),
    ],
)
def test_a_violation_in_a_release_file_is_named(tmp_path, document, expected):
    path = tmp_path / "release.json"
    path.write_text(document)
    with pytest.raises(InvalidInputError, match=r"release\.json") as error:
        read_release(path)
    assert expected in str(error.value)


@pytest.mark.parametrize(
    ("arguments", "code", "expected"),
    [
        (["fleet", "check", "deploy/fleet.json"], 0, "good: 3 planners"),
        (["fleet", "check", "nowhere.json"], 2, "nowhere.json"),
        (["fleet", "show", "--fleet", "deploy/fleet.json"], 2, "no planner carried out the request"),
        (["fleet", "what-if", "--fleet", "deploy/fleet.json", "--lose", "north"], 2, "planner-1 at"),
        (
            ["planner", "--fleet", "deploy/fleet.json", "--name", "nobody", "--folder", "x"],
            2,
            "planners: no planner is named 'nobody'; expected one of planner-1",
        ),
        (["lab", "play", "site-loss", "--seed", "1", "--fault", "plague"], 2, "no fault is named 'plague'"),
        (["lab", "faults"], 0, "planners-split"),
        (["lab", "faults"], 0, "killed-halting"),
        (["release", "check", "--fleet", "deploy/fleet.json", "deploy/release.json"], 0, "canaries: north-1"),
        (["release", "check", "--fleet", "deploy/fleet.json", "deploy/fleet.json"], 2, "deploy/fleet.json"),
        (["release", "status", "--fleet", "deploy/fleet.json"], 2, "no planner carried out the request"),
        (["lab", "play", "release", "--seed", "1", "--version", "lemon"], 2, "no version is named 'lemon'"),
        (["lab", "play", "release", "--seed", "1", "--fault", "plague"], 2, "no fault is named 'plague'"),
        (["lab", "play", "release", "--seed", "1", "--servers", "7"], 2, "can't be spread evenly"),
        (["fleet", "dance"], 2, "No such command"),
    ],
)
def test_commands_exit_with_their_code_and_a_message_without_traceback(arguments, code, expected):
    result = run_command(*arguments)
    assert result[0] == code
    assert expected in result[1] + result[2]
    assert "Traceback" not in result[2]


def test_an_app_server_with_an_invalid_fleet_file_does_not_start(tmp_path):
    config = str(ROOT / "examples" / "app-server.json")
    path = write_fleet_file(tmp_path, make_fleet_document(colour="red"))
    code, _, output = run_command(PROXY_CONFIG=config, BIRCHSLIP_FLEET=str(path))
    assert code == 2
    assert "unknown field `colour`" in output
    assert "Traceback" not in output
    code, _, output = run_command(
        PROXY_CONFIG=config, BIRCHSLIP_FLEET=str(write_fleet_file(tmp_path, make_fleet_document()))
    )
    assert code == 2
    assert "no member is named 'toy-1'" in output
