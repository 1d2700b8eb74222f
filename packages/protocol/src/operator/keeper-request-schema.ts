import * as v from "valibot";

import { KeeperAction } from "./keeper-action.js";

/** A request to change the set of keepers. */
export const keeperRequestSchema = v.strictObject({
    action: v.enum(KeeperAction),
    /** Peer address of the keeper to add. */
    address: v.optional(v.string()),
    /** Id of the keeper to remove or replace. */
    id: v.optional(v.string()),
});
