import { QueuePolicy } from "@daisylock/core/admission/queue-policy.js";
import { TargetPolicy } from "@daisylock/core/admission/target-policy.js";
import * as v from "valibot";

import { Role } from "./role.js";

const minSecretLength = 16;
const address = v.pipe(
    v.string(),
    v.regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/, "expected an IP number and a port"),
);
const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,40}$/, "expected lower case letters, digits, -"));
const secret = v.pipe(v.string(), v.minLength(minSecretLength, `expected at least ${minSecretLength} characters`));
const milliseconds = (fallback: number) => v.optional(v.pipe(v.number(), v.integer(), v.minValue(1)), fallback);
const count = milliseconds;

/** The settings file of a daemon. */
export const settingsSchema = v.strictObject({
    node: v.strictObject({
        name,
        zone: name,
        roles: v.pipe(v.array(v.enum(Role)), v.minLength(1)),
        /** Folder for the state of a keeper. */
        data: v.optional(v.pipe(v.string(), v.minLength(1))),
    }),
    listen: v.strictObject({
        /** Required for the role entry. */
        callers: v.optional(address),
        targets: v.optional(address),
        operators: address,
        peers: address,
    }),
    cluster: v.strictObject({
        /** Shared by the processes of the cluster. */
        secret,
        operator_token: secret,
        target_token: secret,
        /** Peer addresses of the keepers. */
        keepers: v.pipe(v.array(address), v.minLength(1)),
        /** Peer addresses of the entries, which relay for each other. */
        entries: v.optional(v.array(address), []),
        /** Addresses to dial instead of others, where zones reach each other through translated addresses. */
        dial: v.optional(v.record(address, address), {}),
    }),
    policy: v.optional(
        v.strictObject({
            queue: v.optional(v.enum(QueuePolicy), QueuePolicy.Shares),
            target: v.optional(v.enum(TargetPolicy), TargetPolicy.LeastLoaded),
        }),
        {},
    ),
    limits: v.optional(
        v.strictObject({
            /** Age of the newest confirmation at which keyed requests are refused. */
            key_freshness_ms: milliseconds(5_000),
            sync_interval_ms: milliseconds(250),
            idle_sync_interval_ms: milliseconds(1_000),
            /** Shortest lease of a target; it grows with the time between announcements. */
            target_lease_ms: milliseconds(4_000),
            /** Announcements that the entry wants to get; targets are asked to space theirs out accordingly. */
            announcements_per_second: count(100),
            default_deadline_ms: milliseconds(30_000),
            max_deadline_ms: milliseconds(600_000),
            /** Longest wait for a slot. */
            max_queue_ms: milliseconds(10_000),
            max_waiting: count(2_000),
            max_attempts: count(3),
            max_header_bytes: count(16_384),
            max_body_bytes: count(1_073_741_824),
            /** Bodies up to this size are read before the request waits for a slot, and can be sent again. */
            replay_bytes: count(16_384),
            max_connections: count(4_096),
            target_connections: count(64),
            header_timeout_ms: milliseconds(10_000),
            idle_timeout_ms: milliseconds(60_000),
            /** A body that makes no progress for this long ends its request. */
            body_stall_ms: milliseconds(15_000),
            connect_timeout_ms: milliseconds(1_000),
            shutdown_ms: milliseconds(30_000),
            /** Time for which a leaving entry goes on accepting while its health check fails already. */
            leave_notice_ms: milliseconds(1_000),
            events: count(4_096),
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
    /** The platform that reboots VMs; without it, waves wait after draining. */
    platform: v.optional(v.strictObject({ address, token: secret })),
    maintenance: v.optional(
        v.strictObject({
            /** Time in which a VM has to come back after its reboot. */
            return_ms: milliseconds(900_000),
            /** Time for which a VM that came back is watched. */
            probation_ms: milliseconds(60_000),
        }),
        {},
    ),
    metrics: v.optional(v.strictObject({ statsd: v.optional(address) }), {}),
});
