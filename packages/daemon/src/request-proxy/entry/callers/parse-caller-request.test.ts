import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { describe, expect, it } from "@jest/globals";
import type { IncomingMessage } from "node:http";

import { loadSettings } from "../../../settings/load-settings.js";
import { parseCallerRequest } from "./parse-caller-request.js";

const { limits } = loadSettings("examples/single.toml").unwrapOrElse(failure => {
    throw failure;
});

function parse(url: string, headers: Record<string, string> = {}) {
    return parseCallerRequest({ url, headers, method: "GET" } as unknown as IncomingMessage, limits, 1_000);
}

describe("a caller's request", () => {
    it("yields the route, the target's path with query, the key and the default deadline", () => {
        const request = parse("/v1/routes/book/session/1?x=2", { authorization: "Bearer dlk_x" }).unwrapOr(
            undefined as never,
        );
        expect(request).toMatchObject({ route: "book", path: "/session/1?x=2", key: "dlk_x", deadlineAt: 31_000 });
        expect(parse("/v1/routes/book?x=2").map(({ path }) => path).unwrapOr("")).toBe("/?x=2");
    });

    describe("that is malformed", () => {
        it.each([
            ["a path without a route", "/elsewhere", {}],
            ["an invalid route name", "/v1/routes/Bad!/", {}],
            ["a deadline that is not a number", "/v1/routes/book/", { [HeaderName.DeadlineMs]: "soon" }],
            ["a flag that is neither true nor false", "/v1/routes/book/", { [HeaderName.Unrepeatable]: "maybe" }],
            ["a request id with spaces", "/v1/routes/book/", { [HeaderName.RequestId]: "a b" }],
        ])("is refused: %s", (_name, url, headers) => {
            expect(parse(url, headers as Record<string, string>).match({ Ok: () => "", Err: ({ reason }) => reason }))
                .toBe(RefusalReason.MalformedRequest);
        });
    });

    it("is refused when its body is declared too large", () => {
        const result = parse("/v1/routes/book/", { "content-length": String(limits.max_body_bytes + 1) });
        expect(result.match({ Ok: () => "", Err: ({ reason }) => reason })).toBe(RefusalReason.BodyTooLarge);
    });
});
