"""The report of a load as one HTML page with its plots inside."""

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
{pictures}
</html>
"""


def page(told: dict[str, Any]) -> str:
    """All of the report; a page of its own, without links."""
    names = {
        "first_ms": "first token, from the intended time",
        "whole_ms": "whole answer, from the intended time",
        "first_from_send_ms": "first token, from the sending",
        "lag_ms": "the generator's own lateness",
    }
    heads = list(told["first_ms"])
    rows = "".join(
        f"<tr><th>{escape(name)}, ms</th>"
        + "".join(f"<td>{told[key][head]:.1f}</td>" for head in heads)
        + "</tr>"
        for key, name in names.items()
    )
    verdict = "The generator kept to its times." if told["valid"] else f"INVALID: {told['why']}."
    return PAGE.format(
        title=escape(f"Load: {told['name']}"),
        kind="" if told["valid"] else "bad",
        verdict=escape(verdict),
        heads="".join(f"<th>{escape(head)}</th>" for head in heads),
        rows=rows,
        ends=escape("Ends: " + ", ".join(f"{count} {how}" for how, count in told["ends"].items())),
        pictures="".join(
            f'<img alt="{escape(name)}" src="data:image/png;base64,{data}">' for name, data in pictures(told)
        ),
    )


def pictures(told: dict[str, Any]) -> list[tuple[str, str]]:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    found = []
    for name, series in (
        ("jobs a second", ("sent", "ended")),
        ("open jobs", ("open",)),
        ("lateness of the generator, ms", ("lag",)),
    ):
        picture, plane = pyplot.subplots(figsize=(7, 2.6))
        for one in series:
            plane.plot([second[one] for second in told["seconds"]], label=one)
        plane.set_xlabel("second")
        plane.set_title(name)
        plane.legend(fontsize=8)
        data = BytesIO()
        picture.savefig(data, dpi=90, bbox_inches="tight")
        pyplot.close(picture)
        found.append((name, base64.b64encode(data.getvalue()).decode()))
    return found
