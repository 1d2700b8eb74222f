import { buildHolderName } from "@daisylock/core/allocation/build-holder-name.js";
import { SyncRequest } from "@daisylock/protocol/generated/peer.js";

import type { EntryState } from "../entry-state.js";
import type { TargetRegistry } from "../targets/target-registry.js";
import type { PendingReport } from "./pending-report.js";

/** Source data of a report. */
interface SyncRequestSource {
    readonly state: EntryState;
    readonly registry: TargetRegistry;
    readonly pending: PendingReport;
    /** Whether the report is complete rather than incremental. */
    readonly isFull: boolean;
    /** Newest registry version that the leader has acknowledged. */
    readonly ackedVersion: number;
    /** Current time, monotonic milliseconds. */
    readonly now: number;
}

/**
 * Builds an entry's report to the leader.
 * @param source - state of the entry and of the sync
 * @returns the report, as a sync request
 */
export function buildSyncRequest(source: SyncRequestSource): SyncRequest {
    const { state, registry, pending, isFull } = source;
    const { node, listen } = state.settings;
    return SyncRequest.fromPartial({
        entry: node.name,
        incarnation: state.incarnation,
        zone: node.zone,
        address: listen.peers,
        revision: state.tables.revision,
        digest: state.tables.digest,
        hops: 0,
        session: state.session,
        seenSequence: state.seenSequence,
        isFull,
        isLeaving: state.isLeaving,
        reportNumber: pending.number,
        targets: listTargets(registry, isFull ? 0 : source.ackedVersion),
        demands: listDemands(state, pending),
        teams: listTeams(state),
        slots: listSlots(state, isFull),
        ...collectResidues(source),
    });
}

function listTargets(registry: TargetRegistry, sinceVersion: number): SyncRequest["targets"] {
    return registry.listSince(sinceVersion).map(({ vm, incarnation, address, state, slots }) => (
        { vm, incarnation, address, state, slots }
    ));
}

function listDemands(state: EntryState, pending: PendingReport): SyncRequest["demands"] {
    const rows: SyncRequest["demands"] = [];
    for (const pool of state.admission.pools.values()) {
        for (const queue of pool.queues.values()) {
            const usedMs = pending.usedMs.get(`${pool.name}/${queue.team}`) ?? 0;
            if (queue.running > 0 || queue.waiting > 0 || usedMs !== 0) {
                const { team, running, waiting } = queue;
                rows.push({ pool: pool.name, team, running, waiting, usedMs });
            }
        }
    }
    return rows;
}

function listTeams(state: EntryState): SyncRequest["teams"] {
    return [...state.admission.teams]
        .filter(([, limit]) => limit.inUse > 0)
        .map(([team, limit]) => ({ team, inUse: limit.inUse }));
}

/**
 * Lists the slots of this entry by target. A complete report counts every slot that the entry uses or may use, so that a
 * new leader learns what was granted before. An incremental report lists only targets with more slots in use than
 * allowed.
 */
function listSlots(state: EntryState, isFull: boolean): SyncRequest["slots"] {
    const rows: SyncRequest["slots"] = [];
    for (const target of state.admission.targets.values()) {
        const heldSlots = Math.max(target.inUse, target.allowed);
        if (heldSlots > 0 && (isFull || target.inUse > target.allowed)) {
            rows.push({ vm: target.vm, inUse: isFull ? heldSlots : target.inUse });
        }
    }
    return rows;
}

type Residues = Pick<SyncRequest, "residues" | "residueAgeMs" | "residueTargets">;

/**
 * Collects the residues: the number of requests that targets still run for each lost holder and team. The age is that of
 * the oldest target report used.
 */
function collectResidues(source: SyncRequestSource): Residues {
    const { state, registry, now } = source;
    const lostHolderNames = new Set(state.lostHolders);
    const ownHolder = buildHolderName(state.settings.node.name, state.incarnation);
    lostHolderNames.delete(ownHolder);
    if (lostHolderNames.size === 0) {
        return { residues: [], residueAgeMs: 0, residueTargets: [] };
    }
    const counts = new Map<string, number>();
    let oldestReportAt = now;
    const targets = registry.listSince(0);
    for (const target of targets) {
        oldestReportAt = Math.min(oldestReportAt, target.reportedAt);
        for (const [dispatch, team] of target.running) {
            const holder = dispatch.slice(0, dispatch.lastIndexOf("/"));
            if (lostHolderNames.has(holder)) {
                const key = `${holder} ${team}`;
                counts.set(key, (counts.get(key) ?? 0) + 1);
            }
        }
    }
    const residues = [...counts].map(([key, running]) => {
        const [holder = "", team = ""] = key.split(" ");
        return { holder, team, running };
    });
    return { residues, residueAgeMs: now - oldestReportAt, residueTargets: targets.map(target => target.vm) };
}
