/** One line of a process's decision log. */
export interface LogLine {
    readonly time: string;
    readonly process: string;
    readonly kind: string;
    /** All other fields of the line, which depend on the kind. */
    readonly fields: Readonly<Record<string, unknown>>;
}
