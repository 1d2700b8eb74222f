import type { TargetRecord } from "@daisylock/core/targets/target-record.js";

import type { Clock } from "../../clock/clock.js";
import type { FaultListener } from "../../containment/fault-listener.js";

/** Dependencies of the report forwarder. */
export interface ReportForwarderDependencies {
    /** Finds the record of a target in the replicated state, as far as this keeper has applied it. */
    readonly findTarget: (id: string) => TargetRecord | undefined;
    readonly clock: Clock;
    readonly noteFault: FaultListener;
}
