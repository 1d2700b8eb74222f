import { ReportedTargetState } from "@daisylock/core/targets/reported-target-state.js";
import * as v from "valibot";

import { JobAction } from "./job-action.js";
import type { LeaderCalls } from "./leader-calls.js";

/** Longest name, id, host, key or path in a call, characters. */
const maxNameLength = 4_096;

const name = v.pipe(v.string(), v.maxLength(maxNameLength));
const amount = v.pipe(v.number(), v.finite(), v.minValue(0));
const count = v.pipe(v.number(), v.safeInteger(), v.minValue(0));
const resources = v.object({ cpu: amount, memory: amount, gpu: amount });
const empty = v.object({});

const jobStep = v.object({
    count,
    needs: resources,
    estimateMs: amount,
    after: v.array(count),
    hasCheckpoints: v.boolean(),
    isGang: v.boolean(),
    isSameRack: v.boolean(),
    requiredLabel: v.optional(name),
    dataRack: v.optional(name),
    maxPerTarget: count,
    isSpeculative: v.boolean(),
    isLongRunning: v.boolean(),
    image: name,
    tailBoundMs: amount,
    isFiller: v.boolean(),
    mayMiss: v.optional(count),
});

const jobRequest = v.object({
    spec: v.string(),
    steps: v.array(jobStep),
    times: count,
    startAtMs: amount,
    intervalMs: amount,
});

const queue = v.object({
    name,
    host: name,
    pathPrefix: name,
    pool: name,
    priority: v.number(),
    maxAttempts: v.number(),
    stretch: v.number(),
    objectiveMs: v.number(),
    timeoutMs: v.number(),
    isPublic: v.boolean(),
    advice: v.optional(v.object({ decideMs: v.number(), perTargetMs: v.number(), validityMs: v.number() })),
});

const configuration = v.object({
    version: v.number(),
    queues: v.array(queue),
    pools: v.array(v.object({ name, isGuarded: v.boolean(), isSpare: v.boolean() })),
    accounts: v.array(v.object({ name, keys: v.array(name), weight: v.number(), cap: resources })),
    source: v.string(),
});

const targetRecord = v.object({
    id: name,
    incarnation: amount,
    pool: name,
    address: name,
    zone: name,
    vm: name,
    rack: name,
    labels: v.array(name),
    capacity: resources,
    state: v.enum(ReportedTargetState),
});

/**
 * Schemas of the requests of the calls that only the leader serves. Requests come from processes of other releases too, so
 * that unknown fields are allowed; what the schemas refuse could otherwise be committed and fail on every keeper.
 */
export const leaderCallSchemas: { readonly [Name in keyof LeaderCalls]: v.GenericSchema<object> } = {
    job: v.object({ verb: v.enum(JobAction), host: name, path: name, key: name, job: v.optional(jobRequest) }),
    putConfiguration: configuration,
    readConfiguration: empty,
    report: v.object({
        record: targetRecord,
        sequence: v.pipe(v.number(), v.finite()),
        clockMs: v.optional(v.pipe(v.number(), v.finite())),
        remainingMs: v.optional(v.pipe(v.number(), v.finite())),
    }),
    leave: v.object({ id: name, incarnation: v.optional(v.pipe(v.number(), v.finite())) }),
    startUpkeep: v.object({ number: v.number(), vms: v.array(name), deadlineS: v.number(), cap: v.number() }),
    readUpkeep: v.object({ number: v.number() }),
    ping: empty,
    findLeader: empty,
    join: v.object({ id: name, address: name }),
};
