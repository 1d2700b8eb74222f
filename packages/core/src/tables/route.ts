import type { RouteAccess } from "./route-access.js";

/** Routes the requests of a team to a pool. The pool is referenced by name and need not exist yet. */
export interface Route {
    readonly pool: string;
    readonly team: string;
    readonly access: RouteAccess;
}
