/** Content of a request to a target, apart from its kind and its target. */
export interface TargetRequestContent {
    /** The request of the target client's method for the kind. */
    readonly request: unknown;
    /** Only for a change of the pace: percent of full speed. */
    readonly percent?: number;
}
