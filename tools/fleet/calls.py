"""Callers that check their own answers."""

import dataclasses
import http.client
import itertools
import json
import random
import threading
import time
import urllib.parse

CALL_LIMIT_SECONDS = 30


@dataclasses.dataclass
class Call:
    marker: str  # Unique; the execution's record repeats it.
    service: str
    entry: str
    repeatable: bool
    started: float = 0.0  # Unix time.
    ended: float = 0.0
    # whole, refused (confirmed not run), unreached (no connection), unknown
    # or wrong
    outcome: str = ""
    detail: str = ""
    digests: list = dataclasses.field(default_factory=list)


class _Connection:
    """One request to an entry; the answer's bytes as they come."""

    def __init__(self, url, method, path, body, headers):
        address = urllib.parse.urlsplit(url)
        self._connection = http.client.HTTPConnection(
            address.hostname, address.port, timeout=CALL_LIMIT_SECONDS)
        self._connection.request(method, path, body, headers)
        self.answer = self._connection.getresponse()

    def __enter__(self):
        return self.answer

    def __exit__(self, *_):
        self._connection.close()


def _outcome_of_failure(call, answer):
    """Reads the outcome of an answer that is a failure."""
    text = answer.read().decode(errors="replace")
    call.detail = f"{answer.status} {text[:300]}"
    said = answer.headers.get("X-Outcome", "")
    call.outcome = "refused" if said == "not-run" else "unknown"


def _check_stream(call, text, tokens):
    """Checks that a streamed answer is whole, of one version and the
    caller's own."""
    content, done = "", False
    for line in text.splitlines():
        if line == "data: [DONE]":
            done = True
        elif line.startswith("event: error"):
            call.outcome, call.detail = "unknown", text[-300:]
            return
        elif line.startswith("data: "):
            event = json.loads(line[len("data: "):])
            content += event["choices"][0]["delta"]["content"]
            if event["weights"] not in call.digests:
                call.digests.append(event["weights"])
    expected = "".join(f"{call.marker}/{i} " for i in range(tokens))
    if not done:
        call.outcome, call.detail = "unknown", "no end mark"
    elif content != expected:
        call.outcome, call.detail = "wrong", f"answer: {content[:300]}"
    else:
        call.outcome = "whole"


def _check_whole(call, text, tokens):
    """Checks an answer that came at once."""
    answer = json.loads(text)
    call.digests = answer["all_weights"]
    content = answer["choices"][0]["message"]["content"]
    expected = "".join(f"{call.marker}/{i} " for i in range(tokens))
    call.outcome = "whole" if content == expected else "wrong"
    call.detail = "" if content == expected else content[:300]


def chat(call, url, workspace, tokens, stream):
    body = json.dumps({
        "model": call.service, "user": call.marker, "max_tokens": tokens,
        "stream": stream,
        "messages": [{"role": "user", "content": f"Quote for {workspace}."}]})
    headers = {"Content-Type": "application/json", "X-Workspace": workspace,
               "Idempotency-Key": call.marker}
    with _Connection(url, "POST", "/v1/chat/completions", body,
                     headers) as answer:
        if answer.status != 200:
            _outcome_of_failure(call, answer)
            return
        text = answer.read().decode()
    (_check_stream if stream else _check_whole)(call, text, tokens)


def plain(call, url, workspace, method, prefix):
    headers = {"X-Workspace": workspace, "Content-Type": "text/plain"}
    base = f"/services/{call.service}"
    if not call.repeatable:
        with _Connection(url, "POST", base + "/-/idempotency-keys", None,
                         {}) as answer:
            if answer.status != 201:
                call.outcome = "refused"  # The call itself was not sent.
                call.detail = f"no key: {answer.status}"
                return
            headers["Idempotency-Key"] = json.loads(answer.read())["key"]
    path = f"{base}{prefix}?call={call.marker}"
    body = None if method == "GET" else f"body of {call.marker}"
    with _Connection(url, method, path, body, headers) as answer:
        if answer.status != 200:
            _outcome_of_failure(call, answer)
            return
        text = answer.read().decode()
    echo = json.loads(text)
    own = call.marker in echo["path"] and echo["body"] == (body or "")
    call.outcome, call.detail = ("whole", "") if own else ("wrong", text[:300])


class Callers:
    """Threads that call a fleet until they are stopped."""

    def __init__(self, fleet, seed, chat_threads, plain_threads):
        self._fleet = fleet
        self._seed = seed
        self._counter = itertools.count(1)
        self._stop = threading.Event()
        self.calls = []
        models = [each for each in fleet.services if each.is_model]
        others = [each for each in fleet.services if not each.is_model]
        self._threads = [
            threading.Thread(target=self._run, daemon=True,
                             args=(index, models[index % len(models)]))
            for index in range(chat_threads)] + [
            threading.Thread(target=self._run, daemon=True,
                             args=(100 + index, others[index % len(others)]))
            for index in range(plain_threads)]

    def start(self):
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._stop.set()
        for thread in self._threads:
            thread.join(CALL_LIMIT_SECONDS + 5)

    def _run(self, number, service):
        chance = random.Random(f"{self._seed} {number}")
        while not self._stop.is_set():
            self._call_once(chance, service)
            time.sleep(chance.uniform(0.02, 0.1))

    def _call_once(self, chance, service):
        entry = chance.choice(self._fleet.entries)
        workspaces = service.document["workspaces"] or [{"name": "main"}]
        workspace = chance.choice(workspaces)["name"]
        marker = f"c{self._seed}-{next(self._counter)}"
        call = Call(marker, service.name, entry.name, True)
        call.started = time.time()
        try:
            if service.is_model:
                chat(call, entry.url, workspace, chance.randint(4, 24),
                     chance.random() < 0.7)
            else:
                route = chance.choice(service.document["calls"]["routes"])
                call.repeatable = route["idempotent"]
                plain(call, entry.url, workspace, route["method"],
                      route["prefix"])
        except ConnectionRefusedError as error:
            call.outcome, call.detail = "unreached", repr(error)
        except (OSError, http.client.HTTPException, LookupError,
                ValueError) as error:
            call.outcome, call.detail = "unknown", repr(error)
        call.ended = time.time()
        self.calls.append(call)
