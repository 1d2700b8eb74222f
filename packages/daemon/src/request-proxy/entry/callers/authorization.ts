/** What a caller's request is allowed to use. */
export interface Authorization {
    readonly team: string;
    readonly pool: string;
}
