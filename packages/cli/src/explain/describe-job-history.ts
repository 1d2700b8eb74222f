import type { LogLine } from "./log-line.js";

const msPerSecond = 1_000;

/**
 * Formats a job history as text: per line the time since the first line, the process, the kind and the fields.
 * @param history - the log lines in order of time
 * @returns one text line for each log line, then one with the number of runs by outcome if any run ended
 */
export function describeJobHistory(history: readonly LogLine[]): string[] {
    const start = Date.parse(history[0]?.time ?? "");
    const described = history.map(({ time, process, kind, fields }) => {
        const seconds = ((Date.parse(time) - start) / msPerSecond).toFixed(3);
        const fieldTexts = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`).join(" ");
        return `+${seconds.padStart(8)} s  ${process}  ${kind}  ${fieldTexts}`;
    });
    return [...described, ...describeRunOutcomes(history)];
}

function describeRunOutcomes(history: readonly LogLine[]): string[] {
    const counts = new Map<string, number>();
    history.filter(({ kind }) => kind === "task-ended").forEach(({ fields }) => {
        const outcome = String(fields["how"]);
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
    });
    return counts.size === 0
        ? []
        : [`runs: ${[...counts].map(([outcome, count]) => `${count} ${outcome}`).join(", ")}`];
}
