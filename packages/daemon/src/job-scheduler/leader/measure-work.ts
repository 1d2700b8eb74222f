/** Runs synchronous work and records the time that it takes under a name; the result is that of the work. */
export type MeasureWork = <Value>(work: string, run: () => Value) => Value;
