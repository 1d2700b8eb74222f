/** A VM that may leave its pool. */
export interface IdleVm {
    readonly vm: string;
    /** Pool that it belongs to when nobody is short. */
    readonly home: string;
    readonly cpu: number;
}
