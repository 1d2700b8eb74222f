import Table from "cli-table3";

import { OutputFormat } from "./output-format.js";

/**
 * Prints a result on standard output, as JSON or as a table.
 * @param format - output format
 * @param result - the result
 * @param rows - rows of the table; when absent, the table has one row for each field of the result
 */
export function printResult(
    format: OutputFormat,
    result: Record<string, unknown>,
    rows?: readonly Record<string, unknown>[],
): void {
    if (format === OutputFormat.Json) {
        process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
        return;
    }
    process.stdout.write(`${rows === undefined ? buildFields(result) : buildRows(rows)}\n`);
}

/** No colours and no box, so that pipes and narrow terminals get plain text. */
const plainStyle = {
    chars: {
        "top": "",
        "top-mid": "",
        "top-left": "",
        "top-right": "",
        "bottom": "",
        "bottom-mid": "",
        "bottom-left": "",
        "bottom-right": "",
        "left": "",
        "left-mid": "",
        "mid": "",
        "mid-mid": "",
        "right": "",
        "right-mid": "",
        "middle": "  ",
    },
    style: { "head": [], "border": [], "padding-left": 0, "padding-right": 0 },
};

function buildRows(rows: readonly Record<string, unknown>[]): string {
    const [first] = rows;
    if (first === undefined) {
        return "(none)";
    }
    const columns = Object.keys(first);
    const table = new Table({ ...plainStyle, head: columns });
    for (const row of rows) {
        table.push(columns.map(column => describeValue(row[column])));
    }
    return table.toString();
}

function buildFields(result: Record<string, unknown>): string {
    const table = new Table(plainStyle);
    for (const [name, value] of Object.entries(result)) {
        table.push([name, describeValue(value)]);
    }
    return table.toString();
}

function describeValue(value: unknown): string {
    if (typeof value === "string") {
        return value;
    }
    return value === undefined ? "" : JSON.stringify(value);
}
