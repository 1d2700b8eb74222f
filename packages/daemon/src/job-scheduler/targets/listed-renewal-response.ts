import type { LeaseRenewalResponse } from "./lease-renewal-response.js";
import type { RunningTask } from "./running-task.js";

/** A response to a lease renewal that holds the running tasks. */
export type ListedRenewalResponse = LeaseRenewalResponse & { readonly running: readonly RunningTask[] };
