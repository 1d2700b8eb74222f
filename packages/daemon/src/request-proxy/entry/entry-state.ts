import type { AdmissionState } from "@daisylock/core/admission/admission-state.js";
import { createAdmissionState } from "@daisylock/core/admission/create-admission-state.js";
import { createTables } from "@daisylock/core/tables/create-tables.js";
import type { Tables } from "@daisylock/core/tables/tables.js";

import type { Clock } from "../../clock/clock.js";
import type { Settings } from "../../settings/settings.js";
import { TableFreshness } from "./table-freshness.js";

/**
 * State shared by the components of an entry. None of it is persisted: a restarted entry obtains it again from the
 * leader and the targets.
 */
export class EntryState {
    tables: Tables = createTables();
    readonly admission: AdmissionState;
    readonly freshness: TableFreshness;
    /** Session of the leader that granted the allowances; empty before the first reply. */
    session = "";
    /** Sequence number of the newest allowances applied. */
    seenSequence = 0;
    /**
     * Holders (entry name and incarnation) that have terminated. The leader asks how many of their requests targets
     * still run.
     */
    lostHolders: readonly string[] = [];
    /** Leaving targets registered with this entry to which no entry sends requests any more. */
    releasedTargets: ReadonlySet<string> = new Set();
    /** Whether this entry is shutting down. */
    isLeaving = false;

    /**
     * @param settings - settings of the process
     * @param incarnation - identifier that is unique for this start of the process
     * @param clock - monotonic time
     */
    constructor(readonly settings: Settings, readonly incarnation: string, clock: Clock) {
        this.admission = createAdmissionState(settings.node.zone, settings.limits.max_waiting, settings.policy);
        this.freshness = new TableFreshness(clock, settings.limits.key_freshness_ms);
    }
}
