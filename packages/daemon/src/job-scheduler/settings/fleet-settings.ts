import type * as v from "valibot";

import type { fleetSettingsSchema } from "./fleet-settings-schema.js";

/** Validated settings of a job-scheduler process. */
export type FleetSettings = v.InferOutput<typeof fleetSettingsSchema>;
