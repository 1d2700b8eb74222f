import type { Refusal } from "@daisylock/core/admission/refusal.js";
import { RefusalReason } from "@daisylock/core/outcomes/refusal-reason.js";
import { HeaderName } from "@daisylock/protocol/http/header-name.js";
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import Result from "true-myth/result";

import type { Settings } from "../../../settings/settings.js";
import type { CallerRequest } from "./caller-request.js";

const routePattern = /^\/v1\/routes\/([a-z0-9][a-z0-9._-]{0,62})(\/[^#]*|\?[^#]*)?$/;
const requestIdPattern = /^[A-Za-z0-9._:-]{1,128}$/;
const bearerPattern = /^Bearer ([\x21-\x7e]{1,256})$/i;

/**
 * Parses and validates a caller's request.
 * @param request - the HTTP request
 * @param limits - limits from the settings
 * @param now - time of arrival, monotonic milliseconds
 * @returns the request, or why it is refused
 */
export function parseCallerRequest(
    request: IncomingMessage,
    limits: Settings["limits"],
    now: number,
): Result<CallerRequest, Refusal> {
    const routeMatch = routePattern.exec(request.url ?? "");
    const id = readHeader(request, HeaderName.RequestId) ?? randomUUID();
    const deadlineMs = parseDeadline(readHeader(request, HeaderName.DeadlineMs), limits);
    const bodyBytes = parseContentLength(request);
    const isUnrepeatable = parseFlag(readHeader(request, HeaderName.Unrepeatable));
    const isUrgent = parseFlag(readHeader(request, HeaderName.Urgent));
    const isMalformed = routeMatch === null || !requestIdPattern.test(id) || deadlineMs === undefined
        || isUnrepeatable === undefined || isUrgent === undefined;
    if (isMalformed) {
        return Result.err({ reason: RefusalReason.MalformedRequest });
    }
    if (bodyBytes !== undefined && bodyBytes > limits.max_body_bytes) {
        return Result.err({ reason: RefusalReason.BodyTooLarge });
    }
    const targetPath = routeMatch[2] ?? "/";
    return Result.ok({
        id,
        route: routeMatch[1] ?? "",
        path: targetPath.startsWith("/") ? targetPath : `/${targetPath}`,
        method: request.method ?? "GET",
        headers: request.headers,
        key: bearerPattern.exec(request.headers.authorization ?? "")?.[1],
        isUnrepeatable,
        isUrgent,
        deadlineAt: now + deadlineMs,
        bodyBytes,
    });
}

function readHeader(request: IncomingMessage, name: HeaderName): string | undefined {
    const value = request.headers[name];
    return Array.isArray(value) ? value.join(",") : value;
}

function parseDeadline(text: string | undefined, limits: Settings["limits"]): number | undefined {
    if (text === undefined) {
        return limits.default_deadline_ms;
    }
    const isNumber = /^\d{1,9}$/.test(text);
    return isNumber ? Math.min(Number(text), limits.max_deadline_ms) : undefined;
}

function parseFlag(text: string | undefined): boolean | undefined {
    const values: Readonly<Record<string, boolean>> = { true: true, false: false };
    return text === undefined ? false : values[text];
}

function parseContentLength(request: IncomingMessage): number | undefined {
    const length = request.headers["content-length"];
    if (length !== undefined) {
        return Number(length);
    }
    return request.headers["transfer-encoding"] === undefined ? 0 : undefined;
}
