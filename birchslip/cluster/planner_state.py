"""What a planner decides: it hears reports, judges sites, makes plans and says what each member is told.

Free of I/O and of clocks; `planner.py` carries it. All planners hear the members, so that whoever comes to
lead knows them; only the leader tells anybody anything, and only what a majority keeps.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from .disruption_budget import (
    BudgetState,
    DisruptionBudget,
    EvictionWaiter,
    MemberObservation,
    UnavailabilityReason,
    with_dependents,
)
from .election import Election
from .election_messages import ReplicationRequest
from .fleet_diff import hindered, moved
from .fleet_file import Fleet, span
from .membership import Member, MemberLiveness, Membership, SiteVerdict
from .messages import (
    Count,
    EvictionOperation,
    EvictionRequest,
    EvictionResponse,
    Incarnation,
    MemberReport,
    Message,
    Name,
    PlanAssignment,
    Rate,
    ReportReply,
    Span,
    Text,
)
from .quota_leases import QuotaLeases
from .recovery_ramp import RecoveryRamp, RecoveryStage
from .rollout import PlatformOrder
from .rollout_controller import (
    CommandResult,
    RolloutCommand,
    RolloutController,
    RolloutStates,
)
from .site_plan import SiteCapacity, SitePlan, plan, what_if

AGAIN = 10_000  # while a site is out the plan is worked out anew once a second, from what is measured
SMOOTH = 0.1  # of each look that goes into a site's usual load: about two seconds of it
LOOK = 1_000  # sites are looked at ten times a second
CONDUCT = 2_500  # releases four times
REPORTS = 1_200  # a second that one planner takes in half a core; larger fleets report less often
WITNESSES = 3  # that are asked to knock at the doors of a site
DOORS = 3  # that each is asked to knock at


class SiteState(Message):
    """What must survive of a site that is not at home."""

    stage: Name
    step: Count
    flaps: Count
    by_hand: bool
    why: Text
    load: dict[Name, Rate]
    hold: Span


class ReplicatedState(Message):
    """What the leader has a majority keep."""

    sites: dict[Name, SiteState] = msgspec.field(default_factory=dict)
    permits: BudgetState = msgspec.field(default_factory=BudgetState)
    releases: RolloutStates = msgspec.field(default_factory=RolloutStates)


class PlannerState:
    def __init__(self, fleet: Fleet, ballot: Election, now: int) -> None:
        self.fleet, self.ballot = fleet, ballot
        self.membership = Membership((site.name for site in fleet.sites), span(fleet.report_ms))
        self.comebacks = {site.name: RecoveryRamp(site.name, since=now) for site in fleet.sites}
        self.usual: dict[str, dict[str, float]] = {site.name: {} for site in fleet.sites}
        self.again = dict.fromkeys(self.usual, 0.0)
        self.home = {member.name: site.name for site in fleet.sites for member in site.members}
        self.verdicts = dict.fromkeys(self.usual, SiteVerdict.HERE)
        self.bases = fleet.base_calls()
        self.away = 0.0  # leased parts of members of lost sites
        self.beside: dict[str, int] = {}  # by site: members that are heard, as of the last look
        self.rooms: dict[str, float] = {}  # the last that was measured of each member
        self.permits = DisruptionBudget(fleet.budget_groups(), needs=fleet.required_services())
        stale = span(fleet.platform.stale_ms) if fleet.platform is not None else 0
        services = [one.name for one in fleet.services]
        self.conductor = RolloutController(fleet.rollout_scopes(), services, self.permits, stale, self.home)
        self.conducted_at = now
        self.orders_number = 0  # that a majority has to keep before anything is asked of the platform
        self.looked_at = now
        self.shares: QuotaLeases | None = None
        self.reign = 0  # the epoch that this mind has taken over, 0 while it does not lead
        self.number = 0
        self.kept_number = 0  # the newest that a majority keeps
        self.made = SitePlan()
        self.told = SitePlan()  # the plan of the newest kept number
        self.told_levels: dict[str, float] = {}
        self.made_at = 0
        self.remarks: list[tuple[str, dict[str, object]]] = []
        self.doubt: list[Member] = []  # members of sites that have fallen silent
        self.witnesses: list[Member] = []  # who may knock at their doors

    # ---- who leads -------------------------------------------------------------------------------------

    def rules(self, now: int) -> bool:
        """Whether it leads and has told a majority what it found."""
        return self.ballot.is_leading(now) and self.reign == self.ballot.term and self.kept_number > 0

    def reigning(self, now: int) -> bool:
        """Take over, or let go, as the vote has gone."""
        if not self.ballot.is_leading(now):
            if self.reign:
                self.remark("no longer leads", epoch=self.reign)
            self.reign = 0
            return False
        if self.reign != self.ballot.term:
            self.reign, self.number, self.kept_number = self.ballot.term, 0, 0
            self.take_state(self.ballot.newest_state.state, now)
            vault = self.fleet.vault
            if vault is not None:
                self.shares = QuotaLeases(
                    self.bases, vault.total_calls, vault.unleased_fraction, span(vault.lease_ms), now
                )
            self.remark("leads", epoch=self.reign)
            self.renew(now)
        return True

    def take_state(self, raw: bytes, now: int) -> None:
        """What the leader before had others keep."""
        state = self.read_state(raw)
        self.comebacks, loads = self.read_sites(state, now)
        self.usual |= loads
        self.permits.book = state.permits
        self.conductor.take(state.releases, now)
        self.orders_number = 1

    def read_state(self, raw: bytes) -> ReplicatedState:
        """One that can't be read is of a later version: nothing of it is known."""
        try:
            return msgspec.json.decode(raw, type=ReplicatedState) if raw else ReplicatedState()
        except msgspec.DecodeError as trouble:
            self.remark("a kept state that can't be read", why=str(trouble))
            return ReplicatedState()

    def read_sites(
        self, state: ReplicatedState, now: int
    ) -> tuple[dict[str, RecoveryRamp], dict[str, dict[str, float]]]:
        """A kept state's sites and their loads."""
        sites = {name: RecoveryRamp(name, since=now) for name in self.usual}
        loads = {}
        for name, kept in state.sites.items():
            if name in sites:
                sites[name] = RecoveryRamp(
                    name,
                    RecoveryStage(kept.stage),
                    kept.step,
                    now,
                    kept.flaps,
                    hold=kept.hold,
                    by_hand=kept.by_hand,
                    why=kept.why,
                )
                loads[name] = dict(kept.load)
        return sites, loads

    def state(self) -> bytes:
        sites = {
            name: SiteState(
                stage=one.stage.value,
                step=one.step,
                flaps=one.flaps,
                by_hand=one.by_hand,
                why=one.why[:400],
                load=self.usual[name],
                hold=one.hold,
            )
            for name, one in self.comebacks.items()
            if one.stage is not RecoveryStage.HOME or one.flaps
        }
        return msgspec.json.encode(
            ReplicatedState(sites=sites, permits=self.permits.book, releases=self.conductor.book)
        )

    def amend(self, fleet: Fleet, now: int) -> list[str]:
        """A later fleet file; why it can't be taken over, and then nothing of it is."""
        troubles = list(hindered(self.fleet, fleet))
        if troubles:
            return troubles
        gone, joined = moved(self.fleet, fleet)
        self.fleet, self.bases = fleet, fleet.base_calls()
        self.home = {member.name: site.name for site in fleet.sites for member in site.members}
        for name in gone:
            self.membership.leave(name)
        self.permits.regroup(fleet.budget_groups(), fleet.required_services())
        if fleet.platform is not None:
            self.conductor.stale = span(fleet.platform.stale_ms)
        self.conductor.amend(fleet.rollout_scopes(), (one.name for one in fleet.services), self.home)
        if self.shares is not None:
            self.shares.amend(self.bases)
        self.remark("fleet file taken over", left=gone, joined=joined)
        if self.reign:
            known = {*self.home, *(one.name for one in fleet.services)}
            for name in [one.holder for one in self.permits.book.permits if one.holder not in known]:
                self.permits.strike(name, "the fleet file")
            self.renew(now)
        return []

    # ---- what comes in ---------------------------------------------------------------------------------

    def hear(self, report: MemberReport, now: int) -> ReportReply:
        if self.home.get(report.name) != report.site:
            self.remark("a report of one that is not in the fleet", member=report.name, site=report.site)
            return self.silence(now)
        self.membership.hear(report, now)
        for knock in report.probes:
            self.membership.knocked(report.name, knock.member, knock.outcome, now)
        if report.plan_term > self.ballot.highest_term:
            self.ballot.observe_term(report.plan_term)
        member = self.membership.members.get(report.name)
        if not self.rules(now) or member is None or member.incarnation != report.incarnation:
            return self.silence(now)
        lease = share = 0.0
        if self.shares is not None:
            kept = self.shares.kept * self.bases[report.name]
            held = max(0.0, report.call_limit - kept) if report.lease_remaining else 0.0
            share = kept + self.shares.grant(report.name, self.wanted(member, now), held, now)
            lease = self.shares.span
        return ReportReply(
            term=self.reign,
            planner=self.ballot.incarnation,
            is_leading=True,
            leader=self.ballot.name,
            report_interval=self.every(),
            assignment=self.tell(report.name),
            call_limit=share,
            lease_span=int(lease),
            probe_addresses=self.doors(report, now),
        )

    def silence(self, now: int) -> ReportReply:
        """Nothing to obey: only where to ask."""
        leader = self.ballot.granted_to.name if now < self.ballot.granted_until else ""
        return ReportReply(
            term=self.ballot.durable.promised_term,
            planner=self.ballot.incarnation,
            is_leading=False,
            leader=leader,
            report_interval=self.every(),
        )

    def every(self) -> int:
        """How often a member reports: seldomer in a large fleet, so that a planner is not drowned."""
        return max(span(self.fleet.report_ms), len(self.home) * 10_000 // REPORTS)

    def doors(self, report: MemberReport, now: int) -> dict[str, str]:
        """At which doors this member is asked to knock: few, and of silent sites that are not its own."""
        # Those of a site that is known to be lost tell nothing more: the doors of the next one come first.
        doubtful = [
            one
            for one in self.doubt
            if one.site != report.site and self.comebacks[one.site].stage is not RecoveryStage.LOST
        ]
        if not doubtful:
            return {}
        able = [one.name for one in self.witnesses if one.site == report.site][:WITNESSES]
        if report.name not in able:
            return {}
        first = able.index(report.name)
        some = [doubtful[(first + step) % len(doubtful)] for step in range(min(DOORS, len(doubtful)))]
        return {one.name: one.report.address for one in some}

    def heard_here(self, names: list[str], now: int) -> list[str]:
        """Those of the leader's doubtful members whose own reports come here."""
        members = (self.membership.members.get(name) for name in names)
        lately = 4 * self.every()
        return [
            one.name
            for one in members
            if one is not None and not one.broken and now - one.suspicion.last <= lately
        ]

    # ---- what it comes to ------------------------------------------------------------------------------

    def look(self, now: int) -> None:
        """A look at all sites; changes of the plan wait for a majority to keep them."""
        self.membership.every = self.every()
        self.measure(now)
        self.doubt = self.membership.doubtful(now)
        self.beside = {site: len(self.membership.alive(site, now)) for site in self.comebacks}
        self.witnesses = (
            [one for site in self.comebacks for one in self.membership.alive(site, now)] if self.doubt else []
        )
        if not self.reigning(now):
            return
        changed = False
        for site, comeback in self.comebacks.items():
            verdict = self.membership.verdict(site, now)
            if verdict is not self.verdicts[site]:
                self.remark(
                    "verdict on a site", site=site, before=self.verdicts[site].value, now=verdict.value
                )
                self.verdicts[site] = verdict
            if verdict is SiteVerdict.LOST and comeback.lost(
                now, "no planner hears it and its doors are shut"
            ):
                self.remark("site lost", site=site, flaps=comeback.flaps, why=comeback.why)
                changed = True
            elif comeback.stage is not RecoveryStage.HOME:
                shown = [one.report for one in self.membership.alive(site, now)]
                usual = sum(self.usual[site].values())
                word = comeback.look(shown, len(self.members_of(site)), usual, now)
                if word:
                    self.remark(
                        "site moves", site=site, stage=comeback.stage.value, level=comeback.level, why=word
                    )
                    changed = True
        self.permits.pass_time(now - self.looked_at)
        self.looked_at = now
        seen = self.seen(now)
        changed = self.permits.look(seen) or changed
        changed = self.conduct(seen, now) or changed
        out = any(one.stage is not RecoveryStage.HOME for one in self.comebacks.values())
        if changed or (out and now - self.made_at >= AGAIN):
            self.renew(now)
        if self.conducted_at == now:
            # Whatever granted the permits they rest on, a want in between too: all of it is kept first.
            self.orders_number = self.number

    def conduct(self, seen: dict[str, MemberObservation], now: int) -> bool:
        """A look at the releases; whether anything has changed that a majority has to keep."""
        if not self.conductor.unfinished() or now - self.conducted_at < CONDUCT:
            return False
        self.conducted_at = now
        phases = {one.course.number: one.phase for one in self.conductor.unfinished()}
        before = msgspec.json.encode(self.conductor.book), self.permits.keep()
        reports = {
            name: member.report
            for name, member in self.membership.members.items()
            if seen[name].out in (None, UnavailabilityReason.COLD)
        }
        out = [name for name, one in self.comebacks.items() if one.stage is not RecoveryStage.HOME]
        self.conductor.look(seen, reports, out, now)
        for release in self.conductor.releases:
            was = phases.get(release.course.number)
            if was is not None and was is not release.phase:
                self.remark(
                    "release", number=release.course.number, phase=release.phase.value, why=release.course.why
                )
        return before != (msgspec.json.encode(self.conductor.book), self.permits.keep())

    def orders(self, now: int) -> list[PlatformOrder]:
        """What the platform is to be asked now: all that it rests on is kept by a majority."""
        if not self.rules(now) or self.kept_number < self.orders_number:
            return []
        return self.conductor.orders

    def say(self, word: RolloutCommand, now: int) -> tuple[int, CommandResult]:
        """A person's word on releases, and the number that a majority has to keep before it is answered."""
        said = self.conductor.word(word, now)
        self.remark("word on a release", what=word.what, number=said.number, who=word.who, why=said.why)
        if said.done:
            self.renew(now)
            self.orders_number = self.number
            self.conducted_at = now - CONDUCT  # looked at with the next look, not a quarter of a second later
        return self.number, said

    def measure(self, now: int) -> None:
        """The usual load of each site, as long as it is at home and heard."""
        if any(one.stage is not RecoveryStage.HOME for one in self.comebacks.values()) or self.doubt:
            return
        for site, usual in self.usual.items():
            there = self.membership.alive(site, now)
            for tenant in {name for one in there for name in one.report.local_load} | set(usual):
                rate = sum(one.report.local_load.get(tenant, 0.0) for one in there)
                usual[tenant] = usual.get(tenant, rate) * (1 - SMOOTH) + rate * SMOOTH
            again = sum(one.report.retries for one in there)
            self.again[site] += (again - self.again[site]) * SMOOTH

    def places(self) -> list[SiteCapacity]:
        """The sites as they are now, for the plan."""
        made = []
        for site, comeback in self.comebacks.items():
            members = self.membership.sites[site].values()
            rooms = {one.name: self.room(one) for one in members if not one.report.is_draining}
            lost = comeback.stage in (RecoveryStage.LOST, RecoveryStage.WAITING)
            made.append(SiteCapacity(site, rooms, self.usual[site], self.again[site], lost, comeback.level))
        return made

    def room(self, member: Member) -> float:
        """As measured; of one that has just started, what was measured before it did."""
        if member.report.capacity > 0:
            self.rooms[member.name] = member.report.capacity
        return self.rooms.get(member.name, 0.0)

    def renew(self, now: int) -> None:
        """A new plan; it is told once a majority keeps it."""
        self.number += 1
        self.made_at = now
        self.made = plan(
            self.places(), self.fleet.tenant_shares, self.fleet.link_costs, self.fleet.shedding_order
        )

    def keep(self) -> ReplicationRequest | None:
        """What others are to keep, where the newest plan is not kept yet."""
        if not self.reign or self.kept_number >= self.number:
            return None
        return ReplicationRequest(
            term=self.reign,
            state_number=self.number,
            leader=self.ballot.name,
            incarnation=self.ballot.incarnation,
            state=self.state(),
        )

    def kept(self, number: int) -> None:
        """A majority keeps it: from now on members are told."""
        if number == self.number and number > self.kept_number:
            self.kept_number, self.told = number, self.made
            self.told_levels = {name: one.level for name, one in self.comebacks.items()}
            gone = [name for name, site in self.home.items() if self.told_levels[site] <= 0]
            self.away = sum(self.shares.own(name) for name in gone) if self.shares is not None else 0.0

    def tell(self, name: str) -> PlanAssignment:
        """The plan as this member is told it.

        With every site at home it changes nothing: what was in force is over, and need not run out.
        """
        levels = self.told_levels
        level = levels[self.home[name]]
        away = [site for site, part in levels.items() if part < 1]
        visitors = [router for site in self.fleet.sites if site.name in away for router in site.routers]
        return PlanAssignment(
            term=self.reign,
            number=self.kept_number,
            validity_span=span(self.fleet.plan_ms),
            fade_span=span(self.fleet.fade_ms),
            quotas=self.told.quotas_of(name) if away else {},
            evacuated_callers=visitors if level == 1 else [],
            evacuated_quota=self.told.visits_of(name),
            shedding_order=list(self.fleet.shedding_tiers) if away else [],
            serving_fraction=level,
            is_listed=level > 0,
            is_capacity_short=self.told.short and bool(away),
        )

    def members_of(self, site: str) -> list[str]:
        return [name for name, home in self.home.items() if home == site]

    def wanted(self, member: Member, now: int) -> float:
        """The leased part that a member should have: its own, and of what lost members had by what it
        takes on.
        """
        assert self.shares is not None
        own = self.shares.own(member.name)
        levels = self.told_levels
        visiting = self.told.visiting.get(member.site, 0.0)
        if levels.get(member.site, 1.0) <= 0:
            return 0.0
        away = self.away
        taken = sum(amount for site, amount in self.told.visiting.items() if levels.get(site, 1.0) > 0)
        if not away or not taken or not visiting:
            return own
        beside = max(1, self.beside.get(member.site, 0))
        return own + away * visiting / taken / beside

    # ---- who may be out --------------------------------------------------------------------------------

    def seen(self, now: int) -> dict[str, MemberObservation]:
        """Every member of the fleet file as it is seen; one that was never heard is out."""
        found = {}
        for name, site in self.home.items():
            member = self.membership.members.get(name)
            if member is None:
                found[name] = MemberObservation(Incarnation(), 0.0, UnavailabilityReason.SILENT)
                continue
            report, why = member.report, None
            life = member.life(now, self.every())
            if life is MemberLiveness.LEFT:
                why = UnavailabilityReason.LEAVING
            elif life is not MemberLiveness.ALIVE:
                why = UnavailabilityReason.SILENT
            elif self.comebacks[site].stage is not RecoveryStage.HOME:
                why = UnavailabilityReason.LOST
            elif not report.is_serving or not report.is_warm:
                why = UnavailabilityReason.COLD
            found[name] = MemberObservation(member.incarnation, self.room(member), why)
        if not self.reign:
            return found  # the leader alone asks the platform
        return with_dependents(found | self.conductor.seen(now), self.permits.needs)

    def want(self, want: EvictionRequest, now: int) -> tuple[int, EvictionResponse]:
        """What comes of it, and the number that a majority has to keep before it may be told."""
        seen = self.seen(now)
        before = self.permits.keep()
        if want.operation is EvictionOperation.GRANT_OVERRIDE:
            why = self.permits.override(want.operator, want.reason, want.count, want.span)
            granted = EvictionResponse(granted=not why, reason=why)
        elif want.holder not in seen:
            return self.kept_number, EvictionResponse(
                granted=False, reason=f"no member is named {want.holder!r}"
            )
        elif want.operation is EvictionOperation.REVOKE_PERMIT:
            self.permits.strike(want.holder, want.operator)
            granted = EvictionResponse(granted=True)
        else:
            granted = self.want_out(want, want.incarnation or seen[want.holder].incarnation, seen)
        if self.permits.keep() != before:
            self.remark(
                "permits",
                what=want.operation,
                holder=want.holder,
                granted=granted.granted,
                why=granted.reason,
            )
            self.renew(now)
        return self.number, granted

    def want_out(
        self, want: EvictionRequest, incarnation: Incarnation, seen: dict[str, MemberObservation]
    ) -> EvictionResponse:
        if want.operation is EvictionOperation.RETURN_PERMIT:
            return EvictionResponse(granted=self.permits.hand_back(want.holder, incarnation, seen))
        asker = EvictionWaiter(holder=want.holder, incarnation=incarnation, why=want.reason)
        ask = self.permits.ask_past if want.operation is EvictionOperation.BYPASS_BUDGET else self.permits.ask
        answer = ask(asker, seen)
        number = answer.permit.number if answer.permit is not None else 0
        return EvictionResponse(
            granted=answer.permit is not None,
            permit_number=number,
            queue_position=answer.place,
            reason=answer.why,
        )

    def shown_permits(self, book: BudgetState, now: int) -> dict[str, object]:
        permits = DisruptionBudget(self.permits.groups, book)
        out = permits.out(self.seen(now))
        return {
            "groups": [
                {"name": one.name, "allowed": one.allowed, "out": len(one.members.intersection(out))}
                for one in permits.groups
            ],
            "out": {name: why.value for name, why in sorted(out.items())} if permits.groups else {},
            "permits": [
                {"holder": one.holder, "number": one.number, "why": one.why, "override": one.override}
                for one in book.permits
            ],
            "waiting": [one.holder for one in book.waiting],
            "record": book.record[-16:],
        }

    # ---- operators -------------------------------------------------------------------------------------

    def evacuate(self, site: str, who: str, why: str, now: int) -> bool:
        if not self.comebacks[site].lost(now, f"by hand: {who}: {why}"[:300], by_hand=True):
            return False
        self.remark("site evacuated by hand", site=site, who=who, why=why)
        self.renew(now)
        return True

    def give_back(self, site: str, who: str, now: int) -> bool:
        if not self.comebacks[site].let_back(now):
            return False
        self.remark("site let back by hand", site=site, who=who)
        self.renew(now)
        return True

    def foresee(self, lose: str) -> dict[str, object]:
        """What the loss of a site would mean today."""
        places = self.places()
        made = what_if(
            places, lose, self.fleet.tenant_shares, self.fleet.link_costs, self.fleet.shedding_order
        )
        rooms = {place.name: place.room for place in places if place.name != lose}
        out: dict[str, object] = {
            "lose": lose,
            "load": sum(sum(place.load.values()) for place in places if place.name == lose),
            "flows": [[a, b, amount] for (a, b), amount in sorted(made.flows.items()) if a == lose],
            "refused": {kind.value: amount for kind, amount in made.refused.items()},
            "refused_at": made.refused_at,
            "room": rooms,
            "short_by": made.refused_in_all(),
        }
        if self.shares is not None:
            gone = set(self.members_of(lose))
            calls = sum(one.report.calls_in_flight for one in self.membership.members.values())
            stays = sum(base for name, base in self.bases.items() if name not in gone)
            stays += sum(self.shares.own(name) for name in gone)
            out["vault"] = {"calls": calls, "may_be": stays, "short_by": max(0.0, calls - stays)}
        return out

    def show(self, now: int) -> dict[str, object]:
        """Everything an operator may want to see, from any planner."""
        members = [
            {
                "name": one.name,
                "site": one.site,
                "life": one.life(now, self.every()).value,
                "incarnation": one.incarnation.nonce,
                "restarts": one.restarts,
                "phi": round(one.suspicion.phi(now), 2),
                "room": round(one.report.capacity, 1),
                "load": round(sum(one.report.local_load.values()), 1),
                "visits": round(one.report.evacuated_load, 1),
                "shed": round(one.report.rejected, 1),
                "pace": round(one.report.slowdown, 2),
                "calls": one.report.calls_in_flight,
                "share": round(one.report.call_limit, 2),
                "plan": f"{one.report.plan_term}.{one.report.plan_number}",
            }
            for one in sorted(self.membership.members.values(), key=lambda one: (one.site, one.name))
        ]
        rules = self.rules(now)
        # One that follows shows what the leader had it keep.
        state = self.read_state(self.ballot.durable.state)
        comebacks = self.comebacks if rules else self.read_sites(state, now)[0]
        sites = [
            {
                "name": name,
                "verdict": self.membership.verdict(name, now).value,
                "stage": comeback.stage.value,
                "level": comeback.level,
                "flaps": comeback.flaps,
                "by_hand": comeback.by_hand,
                "why": comeback.why,
                "load": round(sum(self.usual[name].values()), 1),
                "visiting": round(self.told.visiting.get(name, 0.0), 1),
                "refused": round(self.told.refused_at.get(name, 0.0), 1),
            }
            for name, comeback in comebacks.items()
        ]
        return {
            "planner": self.ballot.name,
            "leads": rules,
            "leader": self.ballot.name if rules else self.silence(now).leader,
            "epoch": self.ballot.durable.promised_term,
            "plan": self.ballot.durable.state_number,
            "short": self.told.short,
            "refused": {kind.value: round(amount, 1) for kind, amount in self.told.refused.items()},
            "blank": self.ballot.durable.is_blank,
            "releases": self.told_releases(now),
            "sites": sites,
            "members": members,
            **self.shown_permits(self.permits.book if rules else state.permits, now),
        }

    def told_releases(self, now: int, number: int = 0, history: bool = False) -> list[dict[str, object]]:
        """From any planner; one that follows tells what the leader had it keep."""
        if self.rules(now):
            return self.conductor.told(number, history)
        kept = RolloutController(self.conductor.parts, (), self.permits, 0)
        kept.take(self.read_state(self.ballot.durable.state).releases, now)
        return kept.told(number, history)

    def remark(self, event: str, **more: object) -> None:
        if len(self.remarks) < 256:
            self.remarks.append((event, more))

    def take_remarks(self) -> Iterator[tuple[str, dict[str, object]]]:
        remarks, self.remarks = self.remarks, []
        yield from remarks
