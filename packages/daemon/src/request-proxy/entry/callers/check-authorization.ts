import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { verifyKey } from "@daisylock/core/keys/verify-key.js";
import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";
import { IsolationPolicy } from "@daisylock/core/tables/isolation-policy.js";
import { RouteAccess } from "@daisylock/core/tables/route-access.js";
import Result from "true-myth/result";

import type { EntryState } from "../entry-state.js";
import type { Authorization } from "./authorization.js";
import type { CallerRequest } from "./caller-request.js";

/** Delay before a refused caller should retry, milliseconds. */
const retryAfterMs = 1_000;

/**
 * Checks whether a request may currently use its route. The refusal is the same for an unknown route and for a key that
 * is missing, unknown, revoked or of another team.
 * @param state - state of the entry
 * @param request - the request
 * @returns the team and pool, or the refusal
 */
export function checkAuthorization(state: EntryState, request: CallerRequest): Result<Authorization, Refusal> {
    const { tables, freshness } = state;
    if (!Number.isFinite(freshness.readAge())) {
        return Result.err({ reason: RefusalReason.KeysNotFresh, retryAfterMs });
    }
    const route = tables.objects.route.get(request.route)?.value;
    const keyTeam = verifyKey(tables, request.key ?? "");
    if (route === undefined || (route.access === RouteAccess.Keyed && keyTeam !== route.team)) {
        return Result.err({ reason: RefusalReason.NotAuthorized });
    }
    const isolationPolicy = tables.objects.team.get(route.team)?.value.isolatedService;
    const needsFreshKeys = route.access === RouteAccess.Keyed && isolationPolicy !== IsolationPolicy.Continue;
    if (needsFreshKeys && !freshness.isFresh()) {
        return Result.err({ reason: RefusalReason.KeysNotFresh, retryAfterMs });
    }
    if (!tables.objects.pool.has(route.pool)) {
        return Result.err({ reason: RefusalReason.PoolUnknown, retryAfterMs });
    }
    return Result.ok({ team: route.team, pool: route.pool });
}
