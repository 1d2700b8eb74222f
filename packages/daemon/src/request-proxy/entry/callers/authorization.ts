/** The team that an authorized request belongs to, and the pool that serves it. */
export interface Authorization {
    readonly team: string;
    readonly pool: string;
}
