import type * as v from "valibot";

import type { announcementSchema } from "./announcement-schema.js";

/** Announcement by which a target registers and reports its state. */
export type Announcement = v.InferOutput<typeof announcementSchema>;
