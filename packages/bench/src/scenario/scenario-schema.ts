import { QueuePolicy } from "@daisylock/core/admission/queue-policy.js";
import { TargetPolicy } from "@daisylock/core/admission/target-policy.js";
import * as v from "valibot";

import { TargetFault } from "../targets/target-fault.js";
import { ScenarioFaultKind } from "./scenario-fault-kind.js";

const nonEmptyString = v.pipe(v.string(), v.minLength(1));
const positiveNumber = v.pipe(v.number(), v.gtValue(0));
const optionalFraction = v.optional(v.pipe(v.number(), v.minValue(0), v.maxValue(1)), 0);

/** Schema of a scenario file. */
export const scenarioSchema = v.strictObject({
    name: nonEmptyString,
    seed: v.pipe(v.number(), v.integer()),
    seconds: positiveNumber,
    zones: v.array(nonEmptyString),
    entries_per_zone: v.pipe(v.number(), v.integer(), v.minValue(1)),
    keepers: v.picklist([1, 3, 5]),
    /** The scenario is run once for each policy, with the same seed. */
    policies: v.array(v.strictObject({ queue: v.enum(QueuePolicy), target: v.enum(TargetPolicy) })),
    pools: v.array(v.strictObject({
        name: nonEmptyString,
        targets_per_zone: v.pipe(v.number(), v.integer(), v.minValue(1)),
        slots: v.pipe(v.number(), v.integer(), v.minValue(1)),
        /** Median service time of a request, milliseconds. */
        service_ms: positiveNumber,
        /** Standard deviation of the logarithm of the service time. */
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
        /** Requests per second, on average; with `bursts`, the rate to which the burst factors apply. */
        rate: positiveNumber,
        /** Whether requests arrive at five times `rate` during the route's burst and at a twentieth of it otherwise. */
        bursts: v.optional(v.boolean(), false),
        /** Fraction of the requests that are unrepeatable. */
        unrepeatable: optionalFraction,
        /** Fraction of the requests that are urgent. */
        urgent: optionalFraction,
        deadline_ms: v.optional(positiveNumber, 10_000),
    })),
    /** Length of a burst, seconds. The routes with `bursts` burst one after the other, in rotation. */
    burst_seconds: v.optional(positiveNumber, 4),
    faults: v.optional(
        v.array(v.strictObject({
            /** Seconds from the start of the run. */
            at: v.pipe(v.number(), v.minValue(0)),
            seconds: positiveNumber,
            kind: v.enum(ScenarioFaultKind),
            /** Name of the VM, process or zone, depending on the kind; ignored for `kill-leader`. */
            subject: nonEmptyString,
            target_fault: v.optional(v.enum(TargetFault), TargetFault.None),
        })),
        [],
    ),
});
