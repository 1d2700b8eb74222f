import { QueuePolicy } from "@daisylock/core/admission/queue-policy.js";
import { TargetPolicy } from "@daisylock/core/admission/target-policy.js";
import { addressSchema } from "@daisylock/protocol/address/address-schema.js";
import * as v from "valibot";

import { Role } from "./role.js";

const minSecretLength = 16;
const name = v.pipe(v.string(), v.regex(/^[a-z0-9][a-z0-9-]{0,40}$/, "expected lower case letters, digits, -"));
const secret = v.pipe(v.string(), v.minLength(minSecretLength, `expected at least ${minSecretLength} characters`));
const milliseconds = (defaultValue: number) => v.optional(v.pipe(v.number(), v.integer(), v.minValue(1)), defaultValue);
const count = milliseconds;

/** Schema of the settings file of a daemon. */
export const settingsSchema = v.strictObject({
    node: v.strictObject({
        name,
        zone: name,
        roles: v.pipe(v.array(v.enum(Role)), v.minLength(1)),
        /** Directory for the persistent state of a keeper; required for the role keeper. */
        data: v.optional(v.pipe(v.string(), v.minLength(1))),
    }),
    listen: v.strictObject({
        /** Listener for client requests; required, like `targets`, for the role entry. */
        callers: v.optional(addressSchema),
        targets: v.optional(addressSchema),
        operators: addressSchema,
        peers: addressSchema,
    }),
    cluster: v.strictObject({
        /** Shared secret by which the processes of the cluster authenticate each other. */
        secret,
        operator_token: secret,
        target_token: secret,
        /** Peer addresses of the keepers. */
        keepers: v.pipe(v.array(addressSchema), v.minLength(1)),
        /** Peer addresses of the entries, which relay calls for each other. */
        entries: v.optional(v.array(addressSchema), []),
        /** Maps a peer address to the address to dial in its place, for zones connected by address translation. */
        dial: v.optional(v.record(addressSchema, addressSchema), {}),
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
            /** Age of the latest confirmation of the tables beyond which keyed requests are refused. */
            key_freshness_ms: milliseconds(5_000),
            sync_interval_ms: milliseconds(250),
            idle_sync_interval_ms: milliseconds(1_000),
            /** Minimum lease of a target. The lease grows with the interval between announcements. */
            target_lease_ms: milliseconds(4_000),
            /** Maximum rate of announcements to an entry. The entry lengthens the interval of its targets to keep to it. */
            announcements_per_second: count(100),
            default_deadline_ms: milliseconds(30_000),
            max_deadline_ms: milliseconds(600_000),
            /** Maximum time that a request waits for a slot. */
            max_queue_ms: milliseconds(10_000),
            max_waiting: count(2_000),
            max_attempts: count(3),
            max_header_bytes: count(16_384),
            max_body_bytes: count(1_073_741_824),
            /** Bodies up to this size are buffered before the request waits for a slot, and can be resent. */
            replay_bytes: count(16_384),
            max_connections: count(4_096),
            target_connections: count(64),
            header_timeout_ms: milliseconds(10_000),
            idle_timeout_ms: milliseconds(60_000),
            /** A request is aborted if its body makes no progress for this long. */
            body_stall_ms: milliseconds(15_000),
            connect_timeout_ms: milliseconds(1_000),
            /** Time limit for client requests in flight when an entry stops. */
            shutdown_ms: milliseconds(30_000),
            /**
             * Time for which a leaving entry fails its health check but still accepts requests, so that load balancers stop
             * sending new ones.
             */
            leave_notice_ms: milliseconds(1_000),
            /** Number of recent events that a process retains. */
            events: count(4_096),
            /** Number of applied log entries after which a keeper creates a new snapshot. */
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
    /** API of the platform that reboots VMs. Without it, reboot waves wait after draining a VM. */
    platform: v.optional(v.strictObject({ address: addressSchema, token: secret })),
    maintenance: v.optional(
        v.strictObject({
            /** Time limit for a VM to become ready again after its reboot. */
            return_ms: milliseconds(900_000),
            /** Time for which a VM is monitored after it has become ready again. */
            probation_ms: milliseconds(60_000),
        }),
        {},
    ),
    metrics: v.optional(v.strictObject({ statsd: v.optional(addressSchema) }), {}),
});
