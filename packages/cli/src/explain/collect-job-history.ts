import type { LogLine } from "./log-line.js";

/** Kinds of log lines about a target; included when a task of the job was placed on the target. */
const targetLogKinds: ReadonlySet<string> = new Set([
    "target-unreachable",
    "target-reachable",
    "target-gone",
    "target-left-out",
    "target-draining",
    "lease-lost",
]);

/** Kinds of log lines about leadership, process starts and stops, and dropped log lines; included for every job. */
const processLogKinds: ReadonlySet<string> = new Set([
    "leadership-gained",
    "leadership-lost",
    "leadership-handed-over",
    "process-started",
    "process-stopping",
    "lines-dropped",
]);

/** Time before the first and after the last line of the job in which related lines are included, milliseconds. */
const contextMarginMs = 2_000;

/**
 * Collects the log lines that explain the outcome of a job or request: its own, those of the targets on which its tasks
 * were placed, and those about processes and leadership. Related lines are limited to the time range of its own lines,
 * extended by a margin.
 * @param lines - lines of all processes, in any order
 * @param id - id of the job, as the caller chose it
 * @returns the lines in order of time; empty when no line has the id
 */
export function collectJobHistory(lines: readonly LogLine[], id: string): LogLine[] {
    const own = lines.filter(line => isOfJob(line, id));
    if (own.length === 0) {
        return [];
    }
    const times = own.map(readTime);
    const from = Math.min(...times) - contextMarginMs;
    const until = Math.max(...times) + contextMarginMs;
    const targets = new Set(own.flatMap(({ fields }) => typeof fields["target"] === "string" ? fields["target"] : []));
    const related = lines.filter(line => {
        const time = readTime(line);
        const isOfTarget = targetLogKinds.has(line.kind) && targets.has(String(line.fields["target"]));
        return !isOfJob(line, id) && time >= from && time <= until && (isOfTarget || processLogKinds.has(line.kind));
    });
    return [...own, ...related].sort((a, b) => readTime(a) - readTime(b));
}

/** The encoded key of a task starts with the job id; the path of a request ends with it. */
function isOfJob({ fields }: LogLine, id: string): boolean {
    const { job, task, path } = fields;
    return job === id || (typeof task === "string" && task.startsWith(`${id}.`))
        || (typeof path === "string" && path.endsWith(`/${id}`));
}

function readTime({ time }: LogLine): number {
    return Date.parse(time);
}
