import type * as v from "valibot";

import type { settingsSchema } from "./settings-schema.js";

/** The checked settings of a daemon. */
export type Settings = v.InferOutput<typeof settingsSchema>;
