import * as v from "valibot";

import { KeeperAction } from "./keeper-action.js";

/** Schema of an operator's request to change the membership of the keeper cluster. */
export const keeperRequestSchema = v.strictObject({
    action: v.enum(KeeperAction),
    /** Peer address of the keeper to add. */
    address: v.optional(v.string()),
    /** Id of the keeper to remove or replace. */
    id: v.optional(v.string()),
});
