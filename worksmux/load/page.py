"""The report of a load as one HTML page with embedded plots."""

from __future__ import annotations

import base64
from html import escape
from io import BytesIO
from typing import Any

PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{title}</title>
<style>body {{ font: 15px sans-serif; margin: 2em auto; max-width: 60em }}
td, th {{ padding: .2em .8em; text-align: right }} .bad {{ color: #b00; font-weight: bold }}</style>
<h1>{title}</h1>
<p class="{kind}">{verdict}</p>
<table><tr><th></th>{heads}</tr>{rows}</table>
<p>{ends}</p>
{plots}
</html>
"""


def page(report: dict[str, Any]) -> str:
    """The HTML page of a report; it refers to no other file."""
    names = {
        "first_ms": "first token, from the intended time",
        "whole_ms": "complete answer, from the intended time",
        "first_from_send_ms": "first token, from the sending",
        "lag_ms": "the generator's own lag",
    }
    heads = list(report["first_ms"])
    rows = "".join(
        f"<tr><th>{escape(name)}, ms</th>"
        + "".join(f"<td>{report[key][head]:.1f}</td>" for head in heads)
        + "</tr>"
        for key, name in names.items()
    )
    verdict = "The generator kept to its times." if report["valid"] else f"INVALID: {report['why']}."
    return PAGE.format(
        title=escape(f"Load: {report['name']}"),
        kind="" if report["valid"] else "bad",
        verdict=escape(verdict),
        heads="".join(f"<th>{escape(head)}</th>" for head in heads),
        rows=rows,
        ends=escape("Ends: " + ", ".join(f"{count} {outcome}" for outcome, count in report["ends"].items())),
        plots="".join(
            f'<img alt="{escape(name)}" src="data:image/png;base64,{data}">' for name, data in plots(report)
        ),
    )


def plots(report: dict[str, Any]) -> list[tuple[str, str]]:
    """The plots over the seconds of the run: title, and PNG in base64."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    encoded_plots = []
    for title, series in (
        ("requests a second", ("sent", "ended")),
        ("open requests", ("open",)),
        ("lag of the generator, ms", ("lag",)),
    ):
        figure, axes = pyplot.subplots(figsize=(7, 2.6))
        for key in series:
            axes.plot([second[key] for second in report["seconds"]], label=key)
        axes.set_xlabel("second")
        axes.set_title(title)
        axes.legend(fontsize=8)
        data = BytesIO()
        figure.savefig(data, dpi=90, bbox_inches="tight")
        pyplot.close(figure)
        encoded_plots.append((title, base64.b64encode(data.getvalue()).decode()))
    return encoded_plots
