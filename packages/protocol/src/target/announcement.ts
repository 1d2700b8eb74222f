import type * as v from "valibot";

import type { announcementSchema } from "./announcement-schema.js";

/** What a target announces of itself. */
export type Announcement = v.InferOutput<typeof announcementSchema>;
