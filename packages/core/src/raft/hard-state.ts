/** What a keeper must not forget about its votes. */
export interface HardState {
    readonly term: number;
    readonly votedFor: string | undefined;
}
