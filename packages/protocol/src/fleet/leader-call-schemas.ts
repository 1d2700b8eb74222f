import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import * as v from "valibot";

import { addressSchema } from "../address/address-schema.js";
import { targetIdSchema } from "../target/target-id-schema.js";
import { JobAction } from "./job-action.js";
import type { LeaderCalls } from "./leader-calls.js";

/** Longest name, id or address in a heartbeat, characters. */
const maxNameLength = 4_096;

/** Longest time limit of a wave, seconds; sums with the time of day stay exact in milliseconds. */
const maxDeadlineS = 1e12;

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const amount = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
/**
 * A number whose range the leader checks itself, so that whoever sent it is told the fault. JSON has no infinite numbers:
 * one that was too large to be decoded arrives as null.
 */
const unchecked = v.nullable(v.number());
const uncheckedResources = v.object({ cpu: unchecked, memory: unchecked, gpu: unchecked });
const empty = v.object({});

/** Largest number of heartbeats in one call. */
const maxReports = 10_000;

const jobStep = v.object({
    count: unchecked,
    needs: uncheckedResources,
    estimateMs: unchecked,
    after: v.array(unchecked),
    hasCheckpoints: v.boolean(),
    isGang: v.boolean(),
    isSameRack: v.boolean(),
    requiredLabel: v.optional(v.string()),
    dataRack: v.optional(v.string()),
    maxPerTarget: unchecked,
    isSpeculative: v.boolean(),
    isLongRunning: v.boolean(),
    image: v.string(),
    tailBoundMs: unchecked,
    isFiller: v.boolean(),
    mayMiss: v.optional(unchecked),
});

const jobRequest = v.object({
    spec: v.string(),
    steps: v.array(jobStep),
    times: unchecked,
    startAtMs: unchecked,
    intervalMs: unchecked,
});

const queue = v.object({
    name: v.string(),
    host: v.string(),
    pathPrefix: v.string(),
    pool: v.string(),
    priority: unchecked,
    maxAttempts: unchecked,
    stretch: unchecked,
    objectiveMs: unchecked,
    timeoutMs: unchecked,
    isPublic: v.boolean(),
    advice: v.optional(v.object({ decideMs: unchecked, perTargetMs: unchecked, validityMs: unchecked })),
});

const configuration = v.object({
    version: unchecked,
    queues: v.array(queue),
    pools: v.array(v.object({ name: v.string(), isGuarded: v.boolean(), isSpare: v.boolean() })),
    accounts: v.array(v.object({
        name: v.string(),
        keys: v.array(v.string()),
        weight: unchecked,
        cap: uncheckedResources,
    })),
    source: v.string(),
});

const targetRecord = v.object({
    id: targetIdSchema,
    incarnation: amount,
    pool: name,
    address: addressSchema,
    zone: name,
    vm: name,
    rack: name,
    labels: v.array(name),
    capacity: v.object({ cpu: amount, memory: amount, gpu: amount }),
    state: v.enum(ReportedTargetState),
});

/**
 * Schemas of the requests of the calls that only the leader serves: the shapes without which a handler or, once they are
 * committed, every keeper would fail. Requests come from processes of other releases too, so that unknown fields are
 * allowed.
 */
export const leaderCallSchemas: { readonly [Name in keyof LeaderCalls]: v.GenericSchema<object> } = {
    job: v.object({
        verb: v.enum(JobAction),
        host: v.string(),
        path: v.string(),
        key: v.string(),
        job: v.optional(jobRequest),
    }),
    putConfiguration: configuration,
    readConfiguration: empty,
    report: v.object({
        record: targetRecord,
        sequence: amount,
        clockMs: v.optional(v.pipe(v.number(), v.finite())),
        remainingMs: v.optional(v.pipe(v.number(), v.finite())),
    }),
    // The heartbeats are checked one by one, so that a malformed one does not keep the others from the leader.
    reports: v.object({ reports: v.pipe(v.array(v.unknown()), v.maxLength(maxReports)) }),
    leave: v.object({ id: name, incarnation: v.optional(amount) }),
    startUpkeep: v.object({
        number: amount,
        vms: v.array(v.string()),
        deadlineS: v.pipe(v.number(), v.minValue(0), v.maxValue(maxDeadlineS)),
        cap: v.pipe(amount, v.minValue(1)),
    }),
    readUpkeep: v.object({ number: amount }),
    ping: empty,
    findLeader: empty,
    join: v.object({ id: name, address: addressSchema }),
    depart: v.object({ id: name }),
};
