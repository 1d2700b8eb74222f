/** Retention of the records of unrepeatable requests. */
export const dispatchRetention = {
    /** Time after a claim at which its record is deleted and the id may be used again, milliseconds. */
    retentionMs: 3_600_000,
    /** Largest number of records; further claims are refused until a record expires. */
    maxRecords: 20_000,
} as const;
