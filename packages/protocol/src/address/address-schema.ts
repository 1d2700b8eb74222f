import * as v from "valibot";

import { isAddress } from "./is-address.js";

/** Schema of a network address that can be dialed or listened on. */
export const addressSchema = v.pipe(v.string(), v.check(isAddress, "expected an IP address and a port"));
