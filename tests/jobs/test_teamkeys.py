"""Tests of the table of keys and of the check of a job's team."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminhill.errors import ValidationError
from cuminhill.jobs.jobindex import JobEntry
from cuminhill.jobs.model import JobState
from cuminhill.jobs.records import decode_job, decode_job_head, encode_job
from cuminhill.jobs.teamaccess import dump_teams, find_team, is_foreign
from cuminhill.jobs.teamkeys import make_key_table

from .builders import JOB_ID, make_job, make_queue, make_table, make_team

# Written by the build before teams (5614279), which later ones read and write.
RECORD = (
    b'{"queue":"q","payload":"payload","accepted_at":1000.0,"times":[0,0.0,0.0],'
    b'"steps":[{"n":1,"need":[1.0,100.0,0.0],"time":2.0}],'
    b'"definition":{"name":"q","host":"h.example","path_prefix":"/q/","pool":"pool",'
    b'"priority":0,"max_attempts":3,"stretch":2.0,"target_s":1.0,"advice":null}}'
)
NAMES = st.sampled_from(["a", "b", "c"])
KEYS = st.sampled_from(["k1", "k2", "k3", "k4"])


def test_a_record_without_a_team_is_that_of_earlier_builds():
    """Guards against records that change where no teams are configured."""
    assert encode_job(make_job(definition=make_queue())) == RECORD


@pytest.mark.parametrize("team", [None, make_team("t1", weight=35.0)])
def test_the_team_of_a_job_survives_the_journal(team):
    """Guards against a job whose team changes with the VM that reads it."""
    job = make_job(definition=make_queue(public=True), team=team)
    assert decode_job(JOB_ID, encode_job(job)) == job
    assert decode_job_head(JOB_ID, encode_job(job)).team == (team.name if team else "")


@settings(max_examples=200, deadline=None)
@given(st.dictionaries(KEYS, NAMES), st.sampled_from(["k1", "k2", "k3", "k4", ""]))
def test_a_key_finds_the_team_of_the_configuration(owners, key):
    """Guards against a key of another team or of none that is taken for valid."""
    teams = {
        name: tuple(key for key, owner in owners.items() if owner == name)
        for name in "abc"
    }
    table = make_table(make_queue(), teams=teams)
    found = find_team(table, f"Bearer {key}")
    assert (found and found.name) == owners.get(key)


def test_a_key_of_two_teams_is_an_error_that_names_them():
    """Guards against a key whose jobs count against whichever team comes last."""
    long = "\u4e2d" * 200
    with pytest.raises(ValidationError) as caught:
        make_key_table([("kaje80", ["secret-key"]), (long, ["k", "secret-key"])])
    assert "'kaje80'" in caught.value.message
    assert "4e2d" in caught.value.message
    assert "secret-key" not in caught.value.message
    assert len(ascii(caught.value)) <= 120  # what is logged


def test_a_key_that_a_team_has_twice_counts_once():
    """Guards against a configuration that is refused for a harmless repetition."""
    table = make_key_table([("a", ["k", "k"])])
    assert table.n_keys == {"a": 1}


def test_nothing_shows_keys_or_digests():
    """Guards against keys or digests in a log line with a table."""
    table = make_table(make_queue(), teams={"t1": ("secret-key",)})
    digests = [str(digest) for digest in table.keys._names]
    for text in (repr(table), repr(table.keys), str(dump_teams(table, []))):
        assert "secret-key" not in text
        assert not [digest for digest in digests if digest in text]


@pytest.mark.parametrize(
    ("team", "queue", "owner", "expected"),
    [
        ("t1", "q", "t1", False),
        ("t2", "q", "t1", True),
        ("t2", "open", "t1", True),
        (None, "q", "t1", True),
        (None, "removed", "t1", True),
        (None, "open", "t1", False),
        (None, "q", "", False),
        ("t2", "q", "", False),
        ("t2", "q", "removed", True),
    ],
)
def test_whether_a_job_is_another_teams(team, queue, owner, expected):
    """Guards against access to others' jobs, also by the path of a public queue."""
    queues = make_queue(), make_queue("open", public=True)
    table = make_table(*queues, teams={"t1": ("k1",), "t2": ("k2",)})
    caller = table.teams[team] if team else None
    entry = JobEntry(queue=queue, team=owner)
    assert is_foreign(table, caller, entry) is expected
    assert not is_foreign(make_table(*queues), None, entry)
    assert not is_foreign(table, caller, None)


def test_the_dump_counts_jobs_of_the_teams_of_the_configuration():
    """Guards against a series of metrics for each team that ever was."""
    table = make_table(make_queue(), teams={"t1": ("k1", "k2"), "t2": ()})
    entries = [
        JobEntry(state=state, team=team)
        for state in (JobState.PENDING, JobState.RUNNING)
        for team in ("t1", "t1", "removed", "")
    ]
    dump = dump_teams(table, entries)
    assert dump["t1"]["jobs"] == {"pending": 2, "running": 2}
    assert (dump["t1"]["n_keys"], dump["t2"]["n_keys"]) == (2, 0)
    assert dump["t1"]["cap"] == {"cores": 0.0, "memory_mb": 0.0, "accelerators": 0.0}
    assert dump.keys() == {"t1", "t2"}
