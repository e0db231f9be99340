"""Commands, arguments, options and their environment variables, as the previous version defined them.

Operators and their scripts rely on these names. A name may be added; one that is removed or changed needs an
alias.
"""

import click
import pytest

from birchslip.cli import cli

# By command: options, with their environment variable in brackets; arguments in capitals, optional with "?".
PARAMETERS = {
    "expect check": [
        "--config [PROXY_CONFIG] required",
        "--fleet [BIRCHSLIP_FLEET]",
        "--jobs",
        "--json",
        "--junit",
        "--no-search",
        "--seed",
        "--seeds",
        "--world",
        "PATHS?",
    ],
    "expect explain": [
        "--config [PROXY_CONFIG] required",
        "--fleet [BIRCHSLIP_FLEET]",
        "--seed",
        "--world",
        "NAME",
        "PATHS?",
    ],
    "expect list": [
        "--config [PROXY_CONFIG] required",
        "--fleet [BIRCHSLIP_FLEET]",
        "--world",
        "PATHS?",
    ],
    "expect mutate": [
        "--config [PROXY_CONFIG] required",
        "--fleet [BIRCHSLIP_FLEET]",
        "--json",
        "--seed",
        "--seeds",
        "--world",
        "PATHS?",
    ],
    "expect schema": [],
    "fleet check": [
        "--json",
        "PATH",
    ],
    "fleet evacuate": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--who required",
        "--why required",
        "SITE",
    ],
    "fleet hand-back": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "MEMBER",
    ],
    "fleet override": [
        "--count",
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--minutes",
        "--who required",
        "--why required",
    ],
    "fleet permit": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--past",
        "--why required",
        "MEMBER",
    ],
    "fleet return": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--who required",
        "SITE",
    ],
    "fleet schema": [],
    "fleet show": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--planner",
    ],
    "fleet strike": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--who required",
        "MEMBER",
    ],
    "fleet what-if": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--lose required",
    ],
    "keep compact": [
        "--json",
        "FOLDER",
    ],
    "keep schema": [],
    "keep show": [
        "--json",
        "FOLDER",
    ],
    "keep verify": [
        "--json",
        "FOLDER",
    ],
    "lab faults": [
        "--json",
    ],
    "lab play kept": [
        "--alone --with-comparison",
        "--fault",
        "--json",
        "--kills",
        "--labels",
        "--logs",
        "--seed required",
    ],
    "lab play release": [
        "--alone --with-comparison",
        "--fault",
        "--json",
        "--load",
        "--logs",
        "--margins",
        "--planners",
        "--seed required",
        "--servers",
        "--sites",
        "--version",
    ],
    "lab play site-loss": [
        "--alone --with-single-level",
        "--each",
        "--fault",
        "--json",
        "--load",
        "--logs",
        "--pace",
        "--planners",
        "--seed required",
        "--sites",
    ],
    "lab stand": [
        "--folder required",
        "--load",
        "--minutes",
        "--servers",
        "--version",
    ],
    "planner": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--folder required",
        "--name required",
    ],
    "release back": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--number",
        "--who required",
    ],
    "release check": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "FILE",
    ],
    "release halt": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--number",
        "--who required",
        "--why",
    ],
    "release history": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--number",
    ],
    "release resume": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--number",
        "--who required",
    ],
    "release schema": [],
    "release start": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--json",
        "--who required",
        "FILE",
    ],
    "release status": [
        "--fleet [BIRCHSLIP_FLEET] required",
        "--follow",
        "--json",
        "--number",
    ],
}


def parameter_line(parameter):
    """Describe a parameter in the form of the record."""
    if isinstance(parameter, click.Argument):
        return parameter.name.upper() + ("" if parameter.required else "?")
    names = " ".join([*parameter.opts, *parameter.secondary_opts])
    variable = f" [{parameter.envvar}]" if parameter.envvar else ""
    return names + variable + (" required" if parameter.required else "")


def commands_of(group, path=()):
    """Yield the full name and the object of each command of a group and its subgroups."""
    for name, command in group.commands.items():
        if isinstance(command, click.Group):
            yield from commands_of(command, (*path, name))
        else:
            yield " ".join((*path, name)), command


COMMANDS = dict(commands_of(cli))


@pytest.mark.parametrize("name", PARAMETERS)
def test_command_keeps_its_recorded_options_and_arguments(name):
    lines = sorted(parameter_line(parameter) for parameter in COMMANDS[name].params)
    assert lines == PARAMETERS[name]


def test_no_command_is_missing_from_the_record():
    assert sorted(COMMANDS) == sorted(PARAMETERS)
