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


def late_work(executions, faults, grace_seconds=2):
    """Returns executions that began at a leaving endpoint after the grace."""
    found = []
    for fault in faults:
        if fault.kind not in ("stop_agent", "list_leaving"):
            continue
        for execution in executions:
            began = execution["started_unix_ms"] / 1000
            if execution["instance"] == fault.instance and (
                    fault.began + grace_seconds < began < fault.ended):
                found.append(f"{fault.kind} {fault.instance}: "
                             f"{execution['id'] or execution['path']} began "
                             f"{began - fault.began:.1f} s after")
    return found


def interrupted(calls, executions, faults):
    """Returns calls that a planned stop cut: in progress when it began, not
    whole, and no other fault of a process at the same time."""
    disturbing = ("kill", "pause")
    by_marker = _executions_by_marker(calls, executions)
    found = []
    for stop in faults:
        if not stop.kind.startswith("stop_"):
            continue
        for call in calls:
            if call.outcome not in ("unknown", "wrong") or not (
                    call.started < stop.began < call.ended):
                continue
            there = call.entry == stop.instance or any(
                run["instance"] == stop.instance
                for run in by_marker[call.marker])
            others = any(fault.kind.startswith(disturbing)
                         and fault.began < call.ended
                         and call.started < fault.ended + 1
                         for fault in faults)
            if there and not others:
                found.append(f"{stop.kind} {stop.instance}: {call.marker} "
                             f"{call.service} {call.outcome} {call.detail}")
    return found
