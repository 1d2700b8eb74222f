/** Longest time after which a target still executes a request that got no response, milliseconds. */
export const maxRequestDelayMs = 12_000;
