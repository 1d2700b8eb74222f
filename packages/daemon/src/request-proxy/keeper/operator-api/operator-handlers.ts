import type { OperateRequest } from "@daisylock/protocol/generated/peer.js";

import { handleChangeLookup } from "./handle-change-lookup.js";
import { handleChange } from "./handle-change.js";
import { handleEntryForget } from "./handle-entry-forget.js";
import { handleKeeperChange } from "./handle-keeper-change.js";
import { handleKeeperList } from "./handle-keeper-list.js";
import { handleStatus } from "./handle-status.js";
import { handleTables } from "./handle-tables.js";
import { handleWaveAction } from "./handle-wave-action.js";
import { handleWaveList } from "./handle-wave-list.js";
import { handleWaveStart } from "./handle-wave-start.js";
import type { OperatorContext } from "./operator-context.js";
import type { OperatorResult } from "./operator-result.js";

type Handler = (
    context: OperatorContext,
    request: OperateRequest,
    pathParameter: string,
) => OperatorResult | Promise<OperatorResult>;

/** Operator requests that the leader handles: method, path and handler. */
export const operatorHandlers: readonly (readonly [string, RegExp, Handler])[] = [
    ["GET", /^\/v1\/tables$/, handleTables],
    ["GET", /^\/v1\/status$/, handleStatus],
    ["POST", /^\/v1\/changes$/, handleChange],
    ["GET", /^\/v1\/changes\/([A-Za-z0-9._-]{8,64})$/, handleChangeLookup],
    ["GET", /^\/v1\/keepers$/, handleKeeperList],
    ["POST", /^\/v1\/keepers$/, handleKeeperChange],
    ["GET", /^\/v1\/waves$/, handleWaveList],
    ["POST", /^\/v1\/waves$/, handleWaveStart],
    ["POST", /^\/v1\/waves\/([a-z0-9][a-z0-9._-]{0,62})$/, handleWaveAction],
    ["DELETE", /^\/v1\/entries\/([a-z0-9-]{1,41})$/, handleEntryForget],
];
