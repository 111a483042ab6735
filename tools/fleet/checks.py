"""Checks of a recorded history against the promises."""

import collections


def _executions_by_marker(calls, executions):
    """Counts the executions of each call."""
    by_marker = collections.defaultdict(list)
    for execution in executions:
        marker = execution["user"] or execution["path"].partition("call=")[2]
        by_marker[marker].append(execution)
    return by_marker


def violations(calls, executions):
    """Returns the violations of each promise, in words."""
    found = {"mixed_answers": [], "wrong_answers": [], "run_twice": [],
             "false_not_run": [], "whole_but_never_run": []}
    by_marker = _executions_by_marker(calls, executions)
    for call in calls:
        runs = by_marker[call.marker]
        where = [run["instance"] for run in runs]
        story = f"{call.marker} {call.service} via {call.entry}: {where}"
        if len(call.digests) > 1:
            found["mixed_answers"].append(f"{story} {call.digests}")
        if call.outcome == "wrong":
            found["wrong_answers"].append(f"{story} {call.detail}")
        if not call.repeatable and len(runs) > 1:
            found["run_twice"].append(story)
        if call.outcome == "refused" and runs:
            found["false_not_run"].append(f"{story} {call.detail}")
        if call.outcome == "whole" and not runs:
            found["whole_but_never_run"].append(story)
    return found


def outcomes(calls):
    """Counts the calls of each outcome."""
    return dict(collections.Counter(call.outcome for call in calls))
