/** One line of a process's decision log. */
export interface LogLine {
    readonly time: string;
    readonly process: string;
    readonly kind: string;
    /** The fields that belong to the kind. */
    readonly fields: Readonly<Record<string, unknown>>;
}
