import { addressSchema } from "@daisylock/protocol/address/address-schema.js";
import * as v from "valibot";

import { Role } from "../../settings/role.js";

import { defaultJobStateMb } from "./default-job-state-mb.js";

const maxPort = 65_535;
const optionalAddress = v.optional(v.union([v.literal(""), addressSchema]), "");
/** Largest delay of a timer, milliseconds; a longer one would end at once. */
const maxDelayMs = 2 ** 31 - 1;
const count = (fallback: number) =>
    v.optional(v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxDelayMs)), fallback);
const milliseconds = count;

/** Schema of the settings file of a job-scheduler process. */
export const fleetSettingsSchema = v.strictObject({
    node: v.strictObject({
        name: v.pipe(v.string(), v.minLength(1)),
        zone: v.string(),
        roles: v.pipe(v.array(v.enum(Role)), v.minLength(1)),
        /** Directory for the state of a keeper (control-plane replica); required for the role keeper. */
        data: v.optional(v.string(), ""),
    }),
    listen: v.strictObject({
        /** Address for callers' requests about jobs; required for the role entry (ingress process). */
        callers: optionalAddress,
        /** Address for readiness checks of an entry; required for the role entry. */
        ready: optionalAddress,
        /** Address for operators and targets; required for the role keeper. */
        control: optionalAddress,
        /** Address for the other processes of the cluster; required for the role keeper. */
        peers: optionalAddress,
        /** Address that serves the metrics in the Prometheus text format under /metrics; empty disables it. */
        metrics: optionalAddress,
    }),
    cluster: v.strictObject({
        /** Addresses of some keepers of the cluster, from which the other keepers are discovered. */
        seeds: v.pipe(v.array(addressSchema), v.minLength(1)),
        /** Port of the keepers' listeners for other processes. */
        peer_port: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(maxPort)),
        /** Whether the seeds bootstrap a new cluster. */
        found: v.boolean(),
        /** Number n of voters that may fail at the same time; the cluster has 2 n + 1 voters. */
        tolerated_losses: count(1),
    }),
    /** The platform's VM service; without an address no VM is moved or put into maintenance. */
    vms: v.optional(
        v.strictObject({
            address: optionalAddress,
            /** Time after the last request of one lease holder before another may send one, milliseconds. */
            holder_lease_ms: milliseconds(3_000),
            /** Expected duration of the maintenance of a VM, seconds. */
            upkeep_s: v.optional(v.number(), 2),
            /** Expected time from the request of a move until the VM serves in its new pool, seconds. */
            move_s: v.optional(v.number(), 1.5),
        }),
        {},
    ),
    /** The placement adviser, which decides on which targets steps may run; needed only for queues that use it. */
    advice: v.optional(v.strictObject({ address: optionalAddress }), {}),
    tasks: v.optional(
        v.strictObject({
            /** Longest lease that a target accepts, milliseconds. */
            max_lease_ms: milliseconds(6_000),
            /** Retention period of the state of an ended job, seconds. */
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
            /** Time for open requests to end when the process stops, milliseconds. */
            stop_ms: milliseconds(4_000),
            /** Number of applied log entries after which a keeper takes the next snapshot. */
            snapshot_entries: count(2_000),
            /** Memory for the state of jobs in a keeper, megabytes; beyond it jobs are refused. */
            job_state_mb: count(defaultJobStateMb),
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
