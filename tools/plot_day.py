"""Plot the worth served and the requests not served over a day, from its report.

    fleetbench run SITE DAY --report REPORT.json --why "..."
    python tools/plot_day.py REPORT.json "title" PLOT.svg

A report of the play program holds windows of two seconds. The line shows the share
of their worth that was served; the bars below it count requests refused, failed and
late. Grey bands mark planned operations and faults, labelled with their kinds.
"""

from __future__ import annotations

import argparse
import json
import pathlib
from dataclasses import dataclass
from typing import Any
from xml.etree import ElementTree as ET

WIDTH, HEIGHT = 900.0, 420.0
LEFT, RIGHT, TOP = 50.0, 890.0, 110.0
WORTH_HEIGHT, GAP, BARS_HEIGHT = 180.0, 20.0, 80.0
BARS = (("refused", "#c90"), ("failed", "#c22"), ("late", "#88b"))
FONT = {"font-family": "sans-serif", "font-size": "10"}
LABEL_ROWS = 8


@dataclass(frozen=True, slots=True)
class Window:
    """Outcomes of the requests of two seconds.

    Parameters
    ----------
    at : float
        Seconds from the start of traffic.
    worth : float
        Share of their worth that was served.
    counts : dict[str, int]
        Numbers of requests refused, failed and late.
    """

    at: float
    worth: float
    counts: dict[str, int]


def read_windows(report: dict[str, Any]) -> list[Window]:
    """Return the windows of a report in order of time."""
    return [
        Window(
            float(item["name"]),
            float(item["worth"] or 0.0),
            {name: int(item[name]) for name, _ in BARS},
        )
        for item in report["windows"]
    ]


class Plot:
    """An SVG plot of one day.

    Parameters
    ----------
    windows : list[Window]
        Windows of the day, in order of time.
    title : str
        Title above the plot.
    """

    def __init__(self, windows: list[Window], title: str) -> None:
        self._windows = windows
        self._step = windows[1].at - windows[0].at if len(windows) > 1 else 1.0
        self._end = windows[-1].at + self._step
        self._root = ET.Element(
            "svg",
            xmlns="http://www.w3.org/2000/svg",
            viewBox=f"0 0 {WIDTH:.0f} {HEIGHT:.0f}",
        )
        self._add("rect", x=0, y=0, width=WIDTH, height=HEIGHT, fill="#fff")
        self._text(LEFT, 16, title, **{"font-size": "13"})

    def _add(self, tag: str, **values: Any) -> ET.Element:
        attributes = {
            key: f"{value:.1f}" if isinstance(value, float) else str(value)
            for key, value in values.items()
        }
        return ET.SubElement(self._root, tag, attributes)

    def _text(self, x: float, y: float, content: str, **values: str) -> None:
        self._add("text", x=x, y=y, **{**FONT, **values}).text = content

    def _x(self, seconds: float) -> float:
        clamped = min(max(seconds, 0.0), self._end)
        return LEFT + (RIGHT - LEFT) * clamped / self._end

    def add_events(self, events: list[dict[str, Any]]) -> None:
        """Shade the times of planned operations and faults."""
        for place, event in enumerate(events):
            begins, ends = self._x(event["at_s"]), self._x(event["to_s"])
            self._add(
                "rect",
                x=begins,
                y=TOP,
                width=max(1.0, ends - begins),
                height=WORTH_HEIGHT + GAP + BARS_HEIGHT,
                fill="#000",
                **{"fill-opacity": "0.06"},
            )
            self._text(begins, TOP - 4 - 10 * (place % LABEL_ROWS), event["kind"])

    def add_worth(self) -> None:
        """Draw the line of the share of worth that was served."""
        points = " ".join(
            f"{self._x(window.at + self._step / 2):.1f},"
            f"{TOP + WORTH_HEIGHT * (1.0 - max(0.0, window.worth)):.1f}"
            for window in self._windows
        )
        for level in (0.0, 0.5, 1.0):
            y = TOP + WORTH_HEIGHT * (1.0 - level)
            self._add("line", x1=LEFT, x2=RIGHT, y1=y, y2=y, stroke="#ccc")
            self._text(8.0, y + 3, f"{level:.1f}")
        self._add(
            "polyline", points=points, fill="none", stroke="#161", **{"stroke-width": 2}
        )

    def add_bars(self) -> None:
        """Draw the bars of requests refused, failed and late."""
        largest = max(1, *(sum(window.counts.values()) for window in self._windows))
        bottom = TOP + WORTH_HEIGHT + GAP + BARS_HEIGHT
        width = (self._x(self._step) - LEFT) * 0.7
        for window in self._windows:
            y = bottom
            for name, color in BARS:
                height = BARS_HEIGHT * window.counts[name] / largest
                y -= height
                x = self._x(window.at) + width * 0.2
                self._add("rect", x=x, y=y, width=width, height=height, fill=color)
        self._text(8.0, bottom - BARS_HEIGHT + 8, str(largest))
        for place, (name, color) in enumerate(BARS):
            self._text(LEFT + 70.0 * place, HEIGHT - 6, name, fill=color)
        for seconds in range(0, int(self._end) + 1, 10):
            self._text(self._x(seconds) - 5, bottom + 12, f"{seconds} s")

    def text(self) -> str:
        """Return the plot as SVG."""
        return ET.tostring(self._root, encoding="unicode") + "\n"


def main() -> None:
    """Read a report and write its plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=pathlib.Path)
    parser.add_argument("title")
    parser.add_argument("plot", type=pathlib.Path)
    arguments = parser.parse_args()
    report = json.loads(arguments.report.read_text())
    windows = read_windows(report)
    if not windows:
        parser.error(f"{arguments.report} holds no windows: was the day played?")
    plot = Plot(windows, f"{arguments.title}: worth {report['G']:.3f}")
    plot.add_events(report["events"])
    plot.add_worth()
    plot.add_bars()
    arguments.plot.write_text(plot.text())


if __name__ == "__main__":
    main()
