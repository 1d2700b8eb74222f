import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { SessionDependencies } from "./session-dependencies.js";
import { TargetSession } from "./target-session.js";

/** Sessions of all targets, one per target incarnation and leadership. */
export class TargetSessions {
    private readonly sessions = new Map<string, TargetSession>();
    private fencingToken = 0;

    /**
     * @param dependencies - services and callbacks passed to each session
     */
    constructor(private readonly dependencies: SessionDependencies) {}

    /**
     * Opens sessions for new target incarnations and closes those of ended ones.
     * @param targets - the recorded targets by id
     * @param token - fencing token of this leadership
     */
    update(targets: ReadonlyMap<string, TargetRecord>, token: number): void {
        this.closeEarlier(token);
        const restarted = new Set<string>();
        for (const [id, session] of this.sessions) {
            if (!session.isOpen() || targets.get(id)?.incarnation !== session.record.incarnation) {
                session.close();
                this.sessions.delete(id);
                restarted.add(id);
            }
        }
        for (const [id, record] of targets) {
            if (!this.sessions.has(id)) {
                this.sessions.set(id, new TargetSession(record, token, this.dependencies, restarted.has(id)));
            }
        }
    }

    /**
     * Closes the sessions of an earlier leadership.
     * @param token - fencing token of the newest leadership known to this process
     */
    closeEarlier(token: number): void {
        if (token !== this.fencingToken) {
            this.closeAll();
            this.fencingToken = token;
        }
    }

    /**
     * Finds the session of a target.
     * @param id - id of the target
     * @returns the session, or `undefined` when the target is not known
     */
    find(id: string): TargetSession | undefined {
        return this.sessions.get(id);
    }

    /**
     * Lists the sessions.
     * @returns the sessions by target id
     */
    list(): ReadonlyMap<string, TargetSession> {
        return this.sessions;
    }

    /**
     * Checks the reachability of the targets of an availability zone after one of them left a request unanswered.
     * @param zone - name of the zone
     */
    checkZoneReachable(zone: string): void {
        for (const session of this.sessions.values()) {
            if (session.record.zone === zone) {
                void session.checkReachable();
            }
        }
    }

    /**
     * Counts the targets of a pool that are ejected as slow.
     * @param pool - name of the pool
     * @returns the number of targets
     */
    countSlow(pool: string): number {
        return [...this.sessions.values()].filter(session => session.record.pool === pool && session.isSlow()).length;
    }

    /**
     * Counts the targets of a pool.
     * @param pool - name of the pool
     * @returns the number of targets
     */
    countTargets(pool: string): number {
        return [...this.sessions.values()].filter(session => session.record.pool === pool).length;
    }

    /** Closes all sessions. */
    closeAll(): void {
        this.sessions.forEach(session => session.close());
        this.sessions.clear();
    }
}
