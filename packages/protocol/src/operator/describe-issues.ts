import * as v from "valibot";

/**
 * Describes what a schema check found.
 * @param issues - issues of a failed check
 * @returns one line an issue: path, what was expected, what came
 */
export function describeIssues(issues: readonly v.BaseIssue<unknown>[]): string[] {
    return issues.map(issue => {
        const path = v.getDotPath(issue) ?? "value";
        return `${path}: ${issue.message}`;
    });
}
