"""Tests the checks that quickstart and faults apply to a recorded history."""

import pathlib
import sys
import unittest

sys.dont_write_bytecode = True
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "tools"))

from fleet import checks  # noqa: E402
from fleet.calls import Call, _check_stream  # noqa: E402
from fleet.faults import Fault  # noqa: E402


def call(outcome, repeatable=False, digests=()):
    return Call("c1", "s", "entry-1", repeatable, 10.0, 20.0, outcome, "",
                list(digests))


def execution(started=15.0, instance="r1"):
    return {"user": "", "path": "/deposits?call=c1", "id": "",
            "instance": instance, "started_unix_ms": started * 1000}


def violated_checks(*arguments):
    return {name for name, items in checks.violations(*arguments).items()
            if items}


class ViolationsTest(unittest.TestCase):
    CASES = [
        ("whole once", call("whole"), 1, set()),
        ("refused and not run", call("refused"), 0, set()),
        ("run twice", call("unknown"), 2, {"run_twice"}),
        ("repeated", call("whole", repeatable=True), 2, set()),
        ("false not run", call("refused"), 1, {"false_not_run"}),
        ("never run", call("whole"), 0, {"whole_but_never_run"}),
        ("wrong", call("wrong"), 1, {"wrong_answers"}),
        ("mixed", call("whole", digests=("a", "b")), 1, {"mixed_answers"}),
    ]

    def test_reports_expected_violations(self):
        for name, record, runs, expected in self.CASES:
            with self.subTest(name):
                self.assertEqual(
                    violated_checks([record], [execution()] * runs), expected)

    def test_work_after_stop_is_late(self):
        stop = Fault("stop_agent", "r1", 10.0, 20.0)
        self.assertEqual(checks.late_work([execution(11.9)], [stop]), [])
        self.assertEqual(len(checks.late_work([execution(12.1)], [stop])), 1)
        other = execution(12.1, instance="r2")
        self.assertEqual(checks.late_work([other], [stop]), [])

    def test_interrupted_excludes_calls_during_other_faults(self):
        stop = Fault("stop_agent", "r1", 15.0, 25.0)
        kill = Fault("kill_entry", "entry-1", 14.0, 16.0)
        records = [call("unknown")]
        runs = [execution()]
        self.assertEqual(len(checks.interrupted(records, runs, [stop])), 1)
        self.assertEqual(checks.interrupted(records, runs, [stop, kill]), [])
        self.assertEqual(checks.interrupted([call("whole")], runs, [stop]), [])

    def test_stream_outcomes(self):
        def event(token):
            return ('data: {"weights":"d","choices":[{"delta":{"content":"'
                    + token + '"}}]}\n\n')
        end = "data: [DONE]\n\n"
        for text, expected in [
                (event("c1/0 ") + event("c1/1 ") + end, "whole"),
                (event("c1/0 ") + event("c1/1 "), "unknown"),
                (event("c1/0 ") + end, "wrong"),
                (event("c1/0 ") + event("c2/1 ") + end, "wrong"),
                (event("c1/0 ") + "event: error\ndata: {}\n\n", "unknown")]:
            with self.subTest(text):
                record = call("")
                _check_stream(record, text, 2)
                self.assertEqual(record.outcome, expected)


if __name__ == "__main__":
    unittest.main()
