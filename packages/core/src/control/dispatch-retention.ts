/** How long and how many records of unrepeatable requests are kept. */
export const dispatchRetention = {
    /** Time after which an id may be used again, milliseconds. */
    keepMs: 3_600_000,
    maxRecords: 20_000,
} as const;
