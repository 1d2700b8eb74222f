import * as v from "valibot";

import { decodeJson } from "./decode-json.js";

/**
 * Parses a JSON body and checks it against a schema. The value keeps fields that the schema does not name.
 * @param body - the body
 * @param schema - the schema
 * @returns the value, or `undefined` when the body is no JSON in valid UTF-8 or does not match
 */
export function parseJsonBody(body: Buffer, schema: v.GenericSchema<object>): object | undefined {
    try {
        const value = decodeJson(body);
        return v.is(schema, value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}
