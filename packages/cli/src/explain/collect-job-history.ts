import type { LogLine } from "./log-line.js";

/** Kinds that tell of a target; they matter while a task of the job may be there. */
const targetLogKinds: ReadonlySet<string> = new Set([
    "target-unreachable",
    "target-reachable",
    "target-gone",
    "target-left-out",
    "target-draining",
    "lease-lost",
]);

/** Kinds that tell who decides; they matter from the first to the last line of the job. */
const leadershipLogKinds: ReadonlySet<string> = new Set([
    "leadership-gained",
    "leadership-lost",
    "leadership-handed-over",
    "process-started",
    "process-stopping",
    "lines-dropped",
]);

/** Time around the job's own lines in which others may explain them, milliseconds. */
const contextMarginMs = 2_000;

/**
 * Collects the lines that tell what became of a job or request: its own, those of the targets that its tasks were placed
 * on, and changes of leadership meanwhile.
 * @param lines - lines of all processes, in any order
 * @param id - id of the job, as the caller chose it
 * @returns the lines in order of time; empty when the id occurs nowhere
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
    const others = lines.filter(line => {
        const at = readTime(line);
        const isOfTarget = targetLogKinds.has(line.kind) && targets.has(String(line.fields["target"]));
        return !isOfJob(line, id) && at >= from && at <= until && (isOfTarget || leadershipLogKinds.has(line.kind));
    });
    return [...own, ...others].sort((a, b) => readTime(a) - readTime(b));
}

/** A task's name begins with its job's id, and a path ends with it. */
function isOfJob({ fields }: LogLine, id: string): boolean {
    const { job, task, path } = fields;
    return job === id || (typeof task === "string" && task.startsWith(`${id}.`))
        || (typeof path === "string" && path.endsWith(`/${id}`));
}

function readTime({ time }: LogLine): number {
    return Date.parse(time);
}
