import type { LogLine } from "./log-line.js";

const msPerSecond = 1_000;

/**
 * Describes the lines of a job for people: the time since the first, who wrote it, what and with which inputs.
 * @param story - the lines in order of time
 * @returns one text line each, then what became of the runs
 */
export function describeJobHistory(story: readonly LogLine[]): string[] {
    const start = Date.parse(story[0]?.time ?? "");
    const described = story.map(({ time, process, kind, fields }) => {
        const seconds = ((Date.parse(time) - start) / msPerSecond).toFixed(3);
        const inputs = Object.entries(fields).map(([key, value]) => `${key}=${String(value)}`).join(" ");
        return `+${seconds.padStart(8)} s  ${process}  ${kind}  ${inputs}`;
    });
    return [...described, ...describeRunEnds(story)];
}

function describeRunEnds(story: readonly LogLine[]): string[] {
    const ends = new Map<string, number>();
    story.filter(({ kind }) => kind === "task-ended").forEach(({ fields }) => {
        const how = String(fields["how"]);
        ends.set(how, (ends.get(how) ?? 0) + 1);
    });
    return ends.size === 0 ? [] : [`runs: ${[...ends].map(([how, count]) => `${count} ${how}`).join(", ")}`];
}
