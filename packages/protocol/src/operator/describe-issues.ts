import * as v from "valibot";

/**
 * Formats the issues of a failed schema validation.
 * @param issues - validation issues
 * @returns one line for each issue, with the path of the value, the expected and the received value
 */
export function describeIssues(issues: readonly v.BaseIssue<unknown>[]): string[] {
    return issues.map(issue => {
        const path = v.getDotPath(issue) ?? "value";
        return `${path}: ${issue.message}`;
    });
}
