import { describe, expect, it } from "@jest/globals";
import * as v from "valibot";

import { parseJsonBody } from "./parse-json-body.js";

const schema = v.object({ saved: v.string() });

describe("a JSON body of a target or of another process", () => {
    it("keeps every character, also a byte order mark and U+0000 within a text", () => {
        const saved = "\u{1F486}\uFEFF\u0000\uFFFD";
        expect(parseJsonBody(Buffer.from(JSON.stringify({ saved })), schema)).toEqual({ saved });
        expect(parseJsonBody(Buffer.from(`{"saved":"\\ud83d"}`), schema)).toEqual({ saved: "\uD83D" });
    });

    // A checkpoint with bytes that are no valid UTF-8 was stored, and sent with the next start, as another text.
    it("is refused when it is no valid UTF-8", () => {
        const body = Buffer.concat([Buffer.from(`{"saved":"`), Buffer.from([0xf0, 0x9f, 0x92]), Buffer.from(`"}`)]);
        expect(parseJsonBody(body, schema)).toBeUndefined();
    });
});
