"""Syntax, meaning and examples of each statement.

Help, completion and the reference page are made from these.
"""

from __future__ import annotations

from typing import NamedTuple

__all__ = ["Entry", "SYNTAX_BY_NAME"]


class Entry(NamedTuple):
    """The syntax of a statement, its meaning, and examples."""

    syntax: str
    meaning: str
    examples: tuple[str, ...]


SYNTAX_BY_NAME = {
    "show": Entry(
        "show VIEW [of SERVICE] [by COLUMN] [at GENERATION] "
        "[where COLUMN OPERATOR VALUE [and ...]]",
        "Prints a table. `by` groups the rows by a column and adds up the number "
        "columns; `~` matches a pattern with `*` and `?`; `at` selects an older "
        "generation of the configuration.",
        (
            "show services",
            "show targets of tally where state = leaving",
            "show flows of ledger by target",
            "show config at 41",
        ),
    ),
    "diff": Entry(
        "diff GENERATION GENERATION",
        "Compares two generations setting by setting.",
        ("diff 41 42",),
    ),
    "set": Entry(
        "set PATH = VALUE [, VALUE ...]",
        "Changes a setting: SERVICE.SETTING, SERVICE.CLASS.SETTING, "
        "rollout.SETTING or operators.NAME.SETTING. A class setting "
        "without a class name applies to every class. `none` is the empty list.",
        (
            "set tally.queue = 64",
            "set tally.ticket.deadline = 2.5",
            "set tally.targets = tally-*, spare-*",
        ),
    ),
    "create": Entry(
        "create service|class|operator NAME [SETTING = VALUE ...]",
        "Adds a service, a class (SERVICE.CLASS) or an operator.",
        (
            "create service feed number = 5 address = 10.0.0.5:443",
            "create class feed.all prefix = /",
        ),
    ),
    "remove": Entry(
        "remove service|class|operator NAME",
        "Removes it. The number of a removed service is never used again.",
        ("remove class feed.all",),
    ),
    "apply": Entry(
        "apply FILE",
        "Replaces the whole document with that of a TOML file.",
        ("apply first.toml",),
    ),
    "export": Entry(
        "export FILE",
        "Writes the document in force to a TOML file, without secrets.",
        ("export now.toml",),
    ),
    "begin": Entry(
        "begin",
        "Opens a change: the next changes are collected until `commit` or `abort`.",
        ("begin; set tally.queue = 64; set ledger.queue = 8; commit",),
    ),
    "commit": Entry(
        "commit",
        "Checks the collected change as a whole against the generation it was "
        "begun on and commits it as one generation, or refuses all of it.",
        ("commit",),
    ),
    "abort": Entry("abort", "Discards the collected change.", ("abort",)),
    "rollback": Entry(
        "rollback to GENERATION",
        "Commits the content of an older generation as a new one. Keys stay "
        "as they are: putting an older key in use would break newer flows.",
        ("rollback to 41",),
    ),
    "drain": Entry(
        "drain target ADDRESS|NAME [force]\n"
        "drain entry NAME [force]\n"
        "drain data centre NAME [force]",
        "Stops it gracefully and shows the progress until it is safe to "
        "remove. Refused if a service would have no targets left, or if no "
        "entry would be left, unless forced.",
        (
            "drain target 10.0.0.7:9000",
            "drain entry entry-1",
            "drain data centre thies-1",
        ),
    ),
    "restart": Entry(
        "restart rolling [force]",
        "Drains every daemon, in waves: of each service one target at a time, of "
        "the entries an eighth. A wave must be back and ready, restarted by its "
        "platform, before the next one is drained.",
        ("restart rolling",),
    ),
    "rotate": Entry(
        "rotate keys [force]",
        "Adds new keys, waits until every daemon accepts them, then brings "
        "them into use. Old keys stay accepted for a limited time. Run again "
        "after an interruption, it resumes where it stopped.",
        ("rotate keys",),
    ),
    "watch": Entry(
        "watch rollout",
        "Prints how many daemons have the newest generation in force, and "
        "which lag, until all have it.",
        ("watch rollout",),
    ),
    "settle": Entry(
        "settle OPERATION",
        "Shows whether the change with this operation id was committed.",
        ("settle 5f0c1e9a77d24b1c",),
    ),
    "report": Entry(
        "report FILE [for SECONDS]",
        "Samples the daemons once a second and draws the histograms of each "
        "service and class and the imbalance over time into a PNG file.",
        ("report today.png for 30",),
    ),
    "help": Entry(
        "help [STATEMENT]",
        "Explains the language, or one statement of it.",
        ("help show",),
    ),
}
