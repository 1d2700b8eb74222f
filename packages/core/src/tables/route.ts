import type { RouteAccess } from "./route-access.js";

/** Carries a team's work to a pool. The pool is named only and need not exist yet. */
export interface Route {
    readonly pool: string;
    readonly team: string;
    readonly access: RouteAccess;
}
