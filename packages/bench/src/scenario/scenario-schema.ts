import { QueuePolicy } from "@daisylock/core/admission/queue-policy.js";
import { TargetPolicy } from "@daisylock/core/admission/target-policy.js";
import * as v from "valibot";

import { TargetFault } from "../targets/target-fault.js";
import { ScenarioFaultKind } from "./scenario-fault-kind.js";

const nonEmptyString = v.pipe(v.string(), v.minLength(1));
const positiveNumber = v.pipe(v.number(), v.gtValue(0));
const optionalFraction = v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0);

/** A scenario file. */
export const scenarioSchema = v.strictObject({
    name: nonEmptyString,
    seed: v.pipe(v.number(), v.integer()),
    seconds: positiveNumber,
    zones: v.array(nonEmptyString),
    entries_per_zone: v.pipe(v.number(), v.integer(), v.minValue(1)),
    keepers: v.picklist([1, 3, 5]),
    /** Each policy gets a run of its own with the same seed. */
    policies: v.array(v.strictObject({ queue: v.enum(QueuePolicy), target: v.enum(TargetPolicy) })),
    pools: v.array(v.strictObject({
        name: nonEmptyString,
        targets_per_zone: v.pipe(v.number(), v.integer(), v.minValue(1)),
        slots: v.pipe(v.number(), v.integer(), v.minValue(1)),
        service_ms: positiveNumber,
        spread: v.optional(v.number(), 0),
    })),
    teams: v.array(v.strictObject({
        name: nonEmptyString,
        share: positiveNumber,
        upper_limit: v.pipe(v.number(), v.integer(), v.minValue(0)),
    })),
    routes: v.array(
        v.strictObject({
            name: nonEmptyString,
            pool: nonEmptyString,
            team: nonEmptyString,
            access: v.picklist(["open", "keyed"]),
        }),
    ),
    load: v.array(v.strictObject({
        route: nonEmptyString,
        /** Mean requests a second. */
        rate: positiveNumber,
        /** Whether the route asks five times its mean in its turn and a twentieth in between. */
        bursts: v.optional(v.boolean(), false),
        unrepeatable: optionalFraction,
        urgent: optionalFraction,
        deadline_ms: v.optional(positiveNumber, 10_000),
    })),
    /** Length of one route's turn to burst. */
    burst_seconds: v.optional(positiveNumber, 4),
    faults: v.optional(
        v.array(v.strictObject({
            at: v.pipe(v.number(), v.minValue(0)),
            seconds: positiveNumber,
            kind: v.enum(ScenarioFaultKind),
            /** VM, process or zone, by the kind. */
            subject: nonEmptyString,
            target_fault: v.optional(v.enum(TargetFault), TargetFault.None),
        })),
        [],
    ),
});
