import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import { randomUUID } from "node:crypto";

import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import type { OperatorClient } from "./operator-client.js";

const maxAttempts = 5;
const retryDelayMs = 400;

/** Optional fields of a change. */
interface ChangeOptions {
    /** Idempotency id of the change; a random UUID when absent. */
    readonly changeId?: string | undefined;
    /** Revision of the tables that the change requires; not checked when absent. */
    readonly baseRevision?: number | undefined;
}

/**
 * Sends a change of the tables. When no response arrives or the server is unavailable, it is retried with the same id,
 * so that it applies at most once.
 * @param client - client of the operator API
 * @param edits - the edits
 * @param options - id and required revision
 * @returns body of the response
 * @throws CommandFailure when the change is refused or all attempts fail
 */
export async function sendEdits(
    client: OperatorClient,
    edits: readonly TableEdit[],
    options: ChangeOptions = {},
): Promise<Record<string, unknown>> {
    const change = { changeId: options.changeId ?? randomUUID(), baseRevision: options.baseRevision, edits };
    for (let attempt = 1;; attempt++) {
        try {
            return await client.sendChecked("POST", "/v1/changes", change);
        }
        catch (error) {
            const mayRetry = error instanceof CommandFailure && error.code === ExitCode.Unreachable;
            if (!mayRetry || attempt === maxAttempts) {
                throw error;
            }
        }
        await new Promise(resolve => setTimeout(resolve, retryDelayMs));
    }
}
