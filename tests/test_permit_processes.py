"""Permits of real planner processes: killed leaders, restarts, a leader without a quorum."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest

from birchslip.cli import call_leader, call_planner
from birchslip.cluster.fleet_reader import read_fleet
from birchslip.cluster.messages import (
    EvictionOperation,
    EvictionRequest,
    OperatorCommand,
    OperatorOperation,
    encode,
)
from birchslip.errors import InvalidInputError
from birchslip.lab.wires import free_port
from birchslip.net.buffer import Buffer
from birchslip.net.message_reader import read_messages
from birchslip.net.messagepack import pack

from .planner_harness import make_fleet_document, make_report

pytestmark = pytest.mark.xdist_group("processes")
ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_SECONDS = 30


class Member(threading.Thread):
    """Sends a member's reports to one planner every 0.1 s, until it is stopped; reconnects as needed."""

    def __init__(self, name, address):
        super().__init__(daemon=True)
        self.member, self.address, self.stopped = name, address, threading.Event()
        self.nonce, self.number = 1, 0

    def run(self):
        while not self.stopped.is_set():
            try:
                with socket.create_connection(self.address, 2) as connection:
                    self.send_reports(connection)
            except OSError:
                self.stopped.wait(0.1)

    def send_reports(self, connection):
        buffer = Buffer(1 << 20)
        while not self.stopped.wait(0.1):
            self.number += 1
            raw = encode(make_report(self.member, self.number, self.nonce))
            connection.sendall(pack([0, self.number, "report", [raw]]))
            while not read_messages(buffer)[0]:
                if not buffer.fill(connection):
                    return


class PlannerCluster:
    """Three planner processes and the members of two sites."""

    def __init__(self, folder):
        self.folder = folder
        document = make_fleet_document(sites=("a", "b"), planners=3)
        for planner in document["planners"]:
            planner["address"] = f"127.0.0.1:{free_port()}"
        document["groups"] = [{"name": "fleet", "all": True, "most_out": 1}]
        self.path = folder / "fleet.json"
        self.path.write_text(json.dumps(document))
        self.fleet = read_fleet(self.path)
        self.planners = {}
        for planner in self.fleet.planners:
            self.start(planner.name)
        self.members = [
            Member(member.name, (planner.address.split(":")[0], int(planner.address.split(":")[1])))
            for planner in self.fleet.planners
            for site in self.fleet.sites
            for member in site.members
        ]
        for member in self.members:
            member.start()
        try:
            self.wait_until(lambda: self.leader() and len(self.show()["members"]) == 4)
        except BaseException:
            self.stop()  # a fixture that fails is not torn down, and its processes would run on
            raise

    def start(self, name):
        arguments = [
            "planner",
            "--fleet",
            str(self.path),
            "--name",
            name,
            "--folder",
            str(self.folder / name),
        ]
        with (self.folder / f"{name}.log").open("a") as log:
            self.planners[name] = subprocess.Popen(
                [sys.executable, "-m", "birchslip", *arguments], cwd=ROOT, stdout=log, stderr=log
            )

    def kill(self, name):
        self.planners[name].kill()
        self.planners[name].wait(TIMEOUT_SECONDS)

    def show(self, name=""):
        return call_leader(self.fleet, OperatorCommand(operation=OperatorOperation.SHOW), name)

    def leader(self):
        try:
            status = self.show()
        except Exception:
            return ""
        return status["planner"] if status["leads"] else ""

    def evict(self, holder, operation="permit"):
        """Send an eviction request until a leader replies, and return the reply."""
        responses = []
        request = EvictionRequest(operation=EvictionOperation(operation), holder=holder, reason="a release")

        def is_answered():
            try:
                responses.append(call_leader(self.fleet, request))
            except Exception:
                return False
            return True

        self.wait_until(is_answered)
        return responses[-1]

    @staticmethod
    def wait_until(condition):
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, "the condition did not hold in time"
            time.sleep(0.05)

    def restart_member(self, name):
        for member in self.members:
            if member.member == name:
                member.nonce, member.number = 2, 0

    def stop(self):
        for member in self.members:
            member.stopped.set()
        for planner in self.planners.values():
            if planner.poll() is None:
                planner.send_signal(signal.SIGTERM)
        assert {planner.wait(TIMEOUT_SECONDS) for planner in self.planners.values()} <= {0, -signal.SIGKILL}


@pytest.fixture
def cluster(tmp_path):
    planner_cluster = PlannerCluster(tmp_path)
    yield planner_cluster
    planner_cluster.stop()


def test_a_permit_survives_its_leader_and_a_restart_of_every_planner(cluster):
    first = cluster.evict("a-0")
    assert first["granted"]
    assert cluster.evict("a-0")["number"] == first["number"]
    assert cluster.evict("b-0")["place"] == 1
    leader = cluster.leader()
    cluster.kill(leader)
    assert cluster.evict("a-0") == first
    assert not cluster.evict("b-0")["granted"]
    for name in cluster.planners:
        if name != leader:
            cluster.kill(name)
    for name in cluster.planners:
        cluster.start(name)
    assert cluster.evict("a-0") == first
    cluster.restart_member("a-0")
    cluster.wait_until(lambda: cluster.evict("b-0")["granted"])
    assert [permit["holder"] for permit in cluster.show()["permits"]] == ["b-0"]


def test_a_leader_without_a_quorum_grants_no_permit(cluster):
    leader = cluster.leader()
    others = [name for name in cluster.planners if name != leader]
    for name in others:
        os.kill(cluster.planners[name].pid, signal.SIGSTOP)
    address = next(planner.address for planner in cluster.fleet.planners if planner.name == leader)
    with pytest.raises((OSError, InvalidInputError)):
        call_planner(
            address,
            EvictionRequest(operation=EvictionOperation.REQUEST_PERMIT, holder="a-0", reason="a release"),
        )
    with pytest.raises(InvalidInputError, match="not the leader"):
        call_planner(
            address,
            EvictionRequest(operation=EvictionOperation.REQUEST_PERMIT, holder="a-0", reason="a release"),
        )
    for name in others:
        os.kill(cluster.planners[name].pid, signal.SIGCONT)
    assert cluster.evict("a-0")["granted"]
    assert len(cluster.show()["permits"]) == 1
