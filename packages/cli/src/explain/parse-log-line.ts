import type { LogLine } from "./log-line.js";

/**
 * Parses one line of a log file. Text before the JSON, such as a prefix of a log collector, is ignored.
 * @param text - the line
 * @returns the parsed line, or `undefined` when it is not a line of a decision log
 */
export function parseLogLine(text: string): LogLine | undefined {
    const start = text.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const content = JSON.parse(text.slice(start)) as Record<string, unknown>;
        const { time, level: _level, process, kind, ...fields } = content;
        return typeof time === "string" && typeof process === "string" && typeof kind === "string"
            ? { time, process, kind, fields }
            : undefined;
    }
    catch {
        return undefined;
    }
}
