import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { SessionDependencies } from "./session-dependencies.js";
import { TargetSession } from "./target-session.js";

/** A session that tells when it is closed, which it also does by itself after it has removed its target. */
export class ListedTargetSession extends TargetSession {
    /**
     * @param record - the target incarnation
     * @param fencingToken - fencing token of this session
     * @param dependencies - services and callbacks of the leader
     * @param isRestarted - whether this leadership had an earlier session with the id
     * @param noteClosed - called when the session is closed
     * @param takeToken - takes a higher fencing token for this session
     */
    constructor(
        record: TargetRecord,
        fencingToken: number,
        dependencies: SessionDependencies,
        isRestarted: boolean,
        private readonly noteClosed: () => void,
        takeToken: () => number | undefined,
    ) {
        super(record, fencingToken, dependencies, isRestarted, takeToken);
    }

    override close(): void {
        super.close();
        this.noteClosed();
    }
}
