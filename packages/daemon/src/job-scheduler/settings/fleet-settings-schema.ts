import * as v from "valibot";

import { Role } from "../../settings/role.js";

const address = v.pipe(
    v.string(),
    v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "expected an IP number and a port"),
);
const optionalAddress = v.optional(v.union([v.literal(""), address]), "");
const count = (fallback: number) => v.optional(v.pipe(v.number(), v.integer(), v.minValue(1)), fallback);
const milliseconds = count;

/** The settings file of a process that serves jobs. */
export const fleetSettingsSchema = v.strictObject({
    node: v.strictObject({
        name: v.pipe(v.string(), v.minLength(1)),
        zone: v.string(),
        roles: v.pipe(v.array(v.enum(Role)), v.minLength(1)),
        /** Folder for the state of a keeper. */
        data: v.optional(v.string(), ""),
    }),
    listen: v.strictObject({
        /** Callers' requests about jobs; required for the role entry. */
        callers: optionalAddress,
        /** Readiness of an entry; required for the role entry. */
        ready: optionalAddress,
        /** Operators and targets; required for the role keeper. */
        control: optionalAddress,
        /** Other processes of the cluster; required for the role keeper. */
        peers: optionalAddress,
        /** Counters and histograms as text, under /metrics; none when left out. */
        metrics: optionalAddress,
    }),
    cluster: v.strictObject({
        /** Some keepers of the cluster; the others are learned from them. */
        seeds: v.pipe(v.array(address), v.minLength(1)),
        /** Port of the keepers' listeners for other processes. */
        peer_port: v.pipe(v.number(), v.integer(), v.minValue(1)),
        /** Whether the seeds found a new cluster. */
        found: v.boolean(),
        /** Keepers that may be lost at once; 2 n + 1 of them vote. */
        tolerated_losses: count(1),
    }),
    /** The platform's service for VMs; without it no VM is maintained or moved. */
    vms: v.optional(
        v.strictObject({
            address: optionalAddress,
            /** Time after the last order of one holder before another may give one, milliseconds. */
            holder_lease_ms: milliseconds(3_000),
            upkeep_s: v.optional(v.number(), 2),
            move_s: v.optional(v.number(), 1.5),
        }),
        {},
    ),
    /** The service that knows on which targets a queue's steps may run; needed for queues with an adviser only. */
    advice: v.optional(v.strictObject({ address: optionalAddress }), {}),
    tasks: v.optional(
        v.strictObject({
            /** Longest lease that a target grants. */
            max_lease_ms: milliseconds(6_000),
            /** Time for which the state of an ended job is kept. */
            keep_state_s: v.optional(v.number(), 120),
        }),
        {},
    ),
    limits: v.optional(
        v.strictObject({
            max_header_bytes: count(16_384),
            max_body_bytes: count(262_144),
            max_connections: count(2_048),
            header_timeout_ms: milliseconds(3_000),
            idle_timeout_ms: milliseconds(15_000),
            /** Time that a process has to stop. */
            stop_ms: milliseconds(4_000),
            snapshot_entries: count(2_000),
        }),
        {},
    ),
    log: v.optional(
        v.strictObject({
            level: v.optional(v.picklist(["trace", "debug", "info", "warn", "error", "silent"]), "info"),
        }),
        {},
    ),
});
