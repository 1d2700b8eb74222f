import type { TableEdit } from "@daisylock/core/tables/table-edit.js";
import { randomUUID } from "node:crypto";

import { CommandFailure } from "../command-failure.js";
import { ExitCode } from "../exit-code.js";
import type { OperatorClient } from "./operator-client.js";

const maxAttempts = 5;
const retryDelayMs = 400;

/** How a change is sent. */
interface ChangeOptions {
    /** The operator's id for the change; made up when absent. */
    readonly changeId?: string | undefined;
    readonly baseRevision?: number | undefined;
}

/**
 * Sends a change of the tables. When the answer is lost, it is sent again under the same id, which is safe.
 * @param client - the operators' API
 * @param edits - the edits
 * @param options - id and base
 * @returns the outcome
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
