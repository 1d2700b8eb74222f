/** Lines of jobs that are written a second, on average. */
const linesPerSecond = 1_500;
/** Jobs whose decision is remembered; far fewer begin in the seconds for which a job runs. */
const maxRememberedJobs = 8_192;
/** Number of kept jobs after which the mean number of lines is computed anew. */
const meanJobCount = 256;
/** Lines of a job that are assumed until then: a dozen tasks, each placed, started and ended. */
const initialLinesPerJob = 40;
const msPerSecond = 1_000;

/**
 * Decides which jobs have their lines written. Under load the lines of all jobs exceed what can be written; a job whose
 * lines are partly missing explains nothing, so a job has either all its lines written or none. Each kept job draws the
 * mean number of lines of a job from a budget that is refilled continuously.
 */
export class JobSampler {
    private readonly isKeptByJob = new Map<string, boolean>();
    private budget = linesPerSecond;
    private refilledAt = 0;
    private linesPerJob = initialLinesPerJob;
    /** Since the mean was computed. */
    private keptJobs = 0;
    private keptLines = 0;

    /**
     * Decides on a line of a job.
     * @param job - id of the job
     * @param now - monotonic milliseconds
     * @returns whether the line is to be written; the same for all lines of the job while the job is remembered
     */
    isLineKept(job: string, now: number): boolean {
        const isKept = this.isKeptByJob.get(job) ?? this.handleFirstLine(job, now);
        if (isKept) {
            this.keptLines += 1;
        }
        return isKept;
    }

    private handleFirstLine(job: string, now: number): boolean {
        const refill = Math.max(0, now - this.refilledAt) / msPerSecond * linesPerSecond;
        this.budget = Math.min(linesPerSecond, this.budget + refill);
        this.refilledAt = now;
        const isKept = this.budget > 0;
        if (isKept) {
            this.budget -= this.linesPerJob;
            this.noteKeptJob();
        }
        this.isKeptByJob.set(job, isKept);
        if (this.isKeptByJob.size > maxRememberedJobs) {
            const [oldest] = this.isKeptByJob.keys();
            this.isKeptByJob.delete(oldest ?? "");
        }
        return isKept;
    }

    private noteKeptJob(): void {
        this.keptJobs += 1;
        if (this.keptJobs === meanJobCount) {
            this.linesPerJob = this.keptLines / this.keptJobs;
            this.keptJobs = 0;
            this.keptLines = 0;
        }
    }
}
