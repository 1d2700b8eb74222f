import type * as v from "valibot";

import type { fleetSettingsSchema } from "./fleet-settings-schema.js";

/** Checked settings of a process that serves jobs. */
export type FleetSettings = v.InferOutput<typeof fleetSettingsSchema>;
