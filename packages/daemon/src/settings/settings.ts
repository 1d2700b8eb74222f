import type * as v from "valibot";

import type { settingsSchema } from "./settings-schema.js";

/** The validated settings of a daemon. */
export type Settings = v.InferOutput<typeof settingsSchema>;
