import { TargetAvailability } from "../admission/target-availability.js";
import type { AllocationState } from "./allocation-state.js";
import { allocationTiming } from "./allocation-timing.js";
import type { EntryReport } from "./entry-report.js";
import type { LostHolder } from "./lost-holder.js";

/**
 * Records how many requests targets still run for lost holders. Once all targets have reported since the loss,
 * decreases the holder's grants of the teams' limits to these numbers, and deletes the holder when no requests remain.
 * @param state - the leader's allocation state
 * @param report - an entry's report
 * @param now - monotonic milliseconds
 */
export function updateLostHolders(state: AllocationState, report: EntryReport, now: number): void {
    for (const [holder, lost] of state.lostHolders) {
        const isAfterLoss = now - report.residueAgeMs > lost.lostAt + allocationTiming.lostHolderMarginMs;
        if (isAfterLoss) {
            recordRunning(lost, holder, report);
            updateCeilings(state, holder, lost);
        }
    }
}

function recordRunning(lost: LostHolder, holder: string, report: EntryReport): void {
    const running = new Map<string, number>();
    for (const row of report.residues) {
        if (row.holder === holder) {
            running.set(row.team, row.running);
        }
    }
    lost.runningByEntry.set(report.entry, running);
    for (const vm of report.residueTargets) {
        lost.reportedTargets.add(vm);
    }
}

function updateCeilings(state: AllocationState, holder: string, lost: LostHolder): void {
    if (!isReportedByAllTargets(state, lost)) {
        return;
    }
    let hasRunning = false;
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
        hasRunning ||= running > 0;
        if (running === 0) {
            resource.grants.delete(holder);
        }
    }
    if (!hasRunning) {
        state.lostHolders.delete(holder);
    }
}

/** A target that is gone or has not reported may still run requests of the lost holder, so it blocks the release. */
function isReportedByAllTargets(state: AllocationState, lost: LostHolder): boolean {
    for (const view of state.targets.values()) {
        const isAssigned = state.tables.objects.vm.has(view.vm);
        if (isAssigned && !lost.reportedTargets.has(view.vm)) {
            return false;
        }
        if (isAssigned && view.state === TargetAvailability.Gone) {
            return false;
        }
    }
    return true;
}

/** Sums over the reporting entries. A target that reports to two entries counts twice, so the sum is an upper bound. */
function countRunning(lost: LostHolder, team: string): number {
    let sum = 0;
    for (const running of lost.runningByEntry.values()) {
        sum += running.get(team) ?? 0;
    }
    return sum;
}
