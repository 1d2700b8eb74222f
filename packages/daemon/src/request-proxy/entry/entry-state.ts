import type { AdmissionState } from "@daisylock/core/admission/admission-state.js";
import { createAdmissionState } from "@daisylock/core/admission/create-admission-state.js";
import { createTables } from "@daisylock/core/tables/create-tables.js";
import type { Tables } from "@daisylock/core/tables/tables.js";

import type { Clock } from "../../clock/clock.js";
import type { Settings } from "../../settings/settings.js";
import { TableFreshness } from "./table-freshness.js";

/** What the parts of an entry share. All of it is soft: a restarted entry asks for it again. */
export class EntryState {
    tables: Tables = createTables();
    readonly admission: AdmissionState;
    readonly freshness: TableFreshness;
    /** Leader session to which the allowances belong. */
    session = "";
    /** Newest allowance sequence applied. */
    seenSequence = 0;
    /** Holders whose remaining work the leader asks about. */
    lostHolders: readonly string[] = [];
    /** Leaving targets to which nobody sends work any more. */
    releasedTargets: ReadonlySet<string> = new Set();
    isLeaving = false;

    /**
     * @param settings - settings of the process
     * @param incarnation - unique for this start
     * @param clock - monotonic time
     */
    constructor(readonly settings: Settings, readonly incarnation: string, clock: Clock) {
        this.admission = createAdmissionState(settings.node.zone, settings.limits.max_waiting, settings.policy);
        this.freshness = new TableFreshness(clock, settings.limits.key_freshness_ms);
    }
}
