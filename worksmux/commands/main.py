"""Defines the commands of `worksmux` and adds the groups of the other modules."""

from __future__ import annotations

import os
import sys
from importlib.metadata import version as version_of
from pathlib import Path
from typing import Annotated

import typer

from ..settings.document import SettingsError
from . import accounts  # noqa: F401  (adds its commands to `fleet`)
from .experiments import experiments
from .fleet import fleet
from .lists import lists
from .loads import loads
from .refusals import BAD_CALL, refuse
from .tokens import tokens

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="A router for language-model requests with prefill and decode on separate engines.",
)
File = Annotated[str, typer.Argument(help="a settings file in KDL", metavar="FILE.kdl")]


@app.command()
def serve(file: File) -> None:
    """Run one gateway until SIGTERM; SIGHUP reloads its settings."""
    from ..gateway.serve import run
    from ..tokenization.vocabulary import TokenizerFormatError

    try:
        sys.exit(run(file))
    except SettingsError as error:
        raise refuse(error) from error
    except TokenizerFormatError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_CALL) from error


@app.command()
def node() -> None:
    """Run one node on an operator's platform, with the configuration file that LB_CONFIG names."""
    from ..node.serve import run

    sys.exit(run(os.environ))


@app.command()
def check(file: File) -> None:
    """Check the settings of a gateway and print every fault, with its line and how to fix it."""
    from ..gateway.serve import vocabularies
    from ..settings.front import load_gateway_settings
    from ..tokenization.vocabulary import TokenizerFormatError

    try:
        settings = load_gateway_settings(file)
        vocabularies(settings)
    except SettingsError as error:
        raise refuse(error) from error
    except TokenizerFormatError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_CALL) from error
    host, port = settings.source.address
    typer.echo(
        f"{file}: gateway {settings.name}, {len(settings.request_classes)} request classes, "
        f"{len(settings.kinds)} kinds of engine, endpoint list from {host}:{port}: no fault"
    )


@app.command()
def trial(
    file: Annotated[
        str, typer.Argument(help="a scenario in KDL, such as examples/bad-day.kdl", metavar="DAY.kdl")
    ],
    policy: Annotated[
        list[str] | None,
        typer.Option(help="worksmux, random, round-robin or least-of-our-own; several run the same scenario"),
    ] = None,
    as_json: Annotated[bool, typer.Option("--json", help="print the report as JSON")] = False,
    keep: Annotated[Path | None, typer.Option(help="an empty directory for all records")] = None,
    guess: Annotated[
        bool,
        typer.Option(
            "--guess-lengths", help="gateways estimate prompt lengths from bytes, whatever the file says"
        ),
    ] = False,
) -> None:
    """Run a scenario with real gateways and fake engines, registry and clients, and check the five rules.

    All of them communicate over loopback sockets.

    Exit codes: 0 all rules kept, 1 a rule was broken or the scenario could not run, 2 the file is invalid.
    """
    from ..fault_trial.runner import FaultTrialError, play
    from ..scenarios.scenario import load_scenario
    from .trials import finish, run_all

    try:
        scenario = load_scenario(file)
    except SettingsError as error:
        raise refuse(error) from error
    if policy and len(policy) > 1:
        raise typer.Exit(run_all(file, policy, as_json, keep))
    try:
        outcome = play(
            scenario,
            policy[0] if policy else scenario.policy,
            lambda text: typer.echo(text, err=True),
            keep,
            not guess,
        )
    except FaultTrialError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    raise finish(outcome, as_json)


@app.command()
def model(
    file: Annotated[str, typer.Argument(help="a scenario in KDL, as for `trial`", metavar="DAY.kdl")],
    policy: Annotated[str, typer.Option(help="in place of that of the scenario")] = "",
    seed: Annotated[int, typer.Option(help="in place of that of the scenario")] = -1,
    as_json: Annotated[bool, typer.Option("--json", help="print the report as JSON")] = False,
) -> None:
    """Run a scenario in simulated time, without sockets, and check the five rules.

    The exit codes are those of `trial`.
    """
    from dataclasses import replace

    from ..checker.report import summary
    from ..scenarios.figures import rule_parameters
    from ..scenarios.scenario import load_scenario
    from ..settings.front import POLICIES
    from ..simulation.day import Model, UnsupportedScenarioError
    from .trials import finish

    try:
        scenario = load_scenario(file)
        if policy and policy not in POLICIES:
            raise UnsupportedScenarioError(f"there is no policy {policy}; name one of {', '.join(POLICIES)}")
        scenario = replace(
            scenario, policy=policy or scenario.policy, seed=scenario.seed if seed < 0 else seed
        )
        records = Model(scenario).run()
    except SettingsError as error:
        raise refuse(error) from error
    except UnsupportedScenarioError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_CALL) from error
    assert records is not None
    report = {"day": scenario.name, "policy": scenario.policy, **summary(records, rule_parameters(scenario))}
    raise finish(report, as_json)


@app.command()
def audit(
    folder: Annotated[Path, typer.Argument(help="a directory of records from `trial --keep`")],
    file: Annotated[
        str, typer.Argument(help="the scenario, for the parameters of the rules", metavar="DAY.kdl")
    ],
    as_json: Annotated[bool, typer.Option("--json", help="print the report as JSON")] = False,
) -> None:
    """Check the five rules again from the records of a scenario."""
    from ..checker.records import load
    from ..checker.report import summary
    from ..scenarios.figures import rule_parameters
    from ..scenarios.scenario import load_scenario
    from .trials import finish

    try:
        report = summary(load(folder), rule_parameters(load_scenario(file)))
    except SettingsError as error:
        raise refuse(error) from error
    except FileNotFoundError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(BAD_CALL) from error
    raise finish(report, as_json)


app.add_typer(tokens, name="tokens")
app.add_typer(lists, name="list")
app.add_typer(fleet, name="fleet")
app.add_typer(experiments, name="experiment")
app.add_typer(loads, name="load")


@app.command()
def version() -> None:
    """Print the version."""
    typer.echo(f"worksmux {version_of('worksmux')}")


def main() -> None:
    """Runs the command line."""
    app()
