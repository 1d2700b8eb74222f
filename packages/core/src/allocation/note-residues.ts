import { TargetState } from "../admission/target-state.js";
import { allocationTiming } from "./allocation-timing.js";
import type { EntryReport } from "./entry-report.js";
import type { LeaderState } from "./leader-state.js";
import type { LostHolder } from "./lost-holder.js";

/**
 * Takes over what targets still run for lost holders, and lowers those holders' part of the limits accordingly.
 * @param state - the leader
 * @param report - an entry's report
 * @param now - monotonic milliseconds
 */
export function noteResidues(state: LeaderState, report: EntryReport, now: number): void {
    for (const [holder, lost] of state.lost) {
        const isAfterLoss = now - report.residueAgeMs > lost.since + allocationTiming.lossMargin;
        if (isAfterLoss) {
            noteReport(lost, holder, report);
            updateCeilings(state, holder, lost);
        }
    }
}

function noteReport(lost: LostHolder, holder: string, report: EntryReport): void {
    const running = new Map<string, number>();
    for (const row of report.residues) {
        if (row.holder === holder) {
            running.set(row.team, row.running);
        }
    }
    lost.residues.set(report.entry, running);
    for (const vm of report.residueTargets) {
        lost.heardTargets.add(vm);
    }
}

function updateCeilings(state: LeaderState, holder: string, lost: LostHolder): void {
    if (!isEveryTargetHeard(state, lost)) {
        return;
    }
    let isHolding = false;
    for (const [team, resource] of state.teams) {
        const grant = resource.grants.get(holder);
        if (grant === undefined) {
            continue;
        }
        const running = countRunning(lost, team);
        if (running < grant.ceiling) {
            grant.ceiling = running;
            grant.allowed = running;
            state.staleTeams.add(team);
        }
        isHolding ||= running > 0;
        if (running === 0) {
            resource.grants.delete(holder);
        }
    }
    if (!isHolding) {
        state.lost.delete(holder);
    }
}

/** A silent target may still run the lost holder's requests, so that it holds the release up. */
function isEveryTargetHeard(state: LeaderState, lost: LostHolder): boolean {
    for (const view of state.targets.values()) {
        const isAssigned = state.tables.objects.vm.has(view.vm);
        if (isAssigned && !lost.heardTargets.has(view.vm)) {
            return false;
        }
        if (isAssigned && view.state === TargetState.Gone) {
            return false;
        }
    }
    return true;
}

/** Entries that hear the same target count it twice; the sum stays an upper bound. */
function countRunning(lost: LostHolder, team: string): number {
    let sum = 0;
    for (const running of lost.residues.values()) {
        sum += running.get(team) ?? 0;
    }
    return sum;
}
