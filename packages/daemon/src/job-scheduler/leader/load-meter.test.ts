import { describe, expect, it } from "@jest/globals";

import { ManualClock } from "../testing/manual-clock.js";
import { LoadMeter } from "./load-meter.js";

describe("LoadMeter", () => {
    it("reports the rounds and requests of each interval apart", () => {
        const meter = new LoadMeter();
        meter.noteRound(4);
        meter.noteRound(11);
        meter.noteRequest("sent log");
        expect(meter.takeInterval()).toMatchObject({ rounds: 2, roundMs: 15, longestRoundMs: 11, requests: 1 });
        expect(meter.takeInterval()).toMatchObject({ rounds: 0, roundMs: 0, longestRoundMs: 0, requests: 0 });
    });

    // Nothing told whether tasks waited because a round may start no more of them or because there was no room.
    it("reports the rounds that planned as many starts as a round may", () => {
        const meter = new LoadMeter();
        meter.noteRound(4, true);
        meter.noteRound(4);
        meter.noteTimerDelay(3);
        meter.noteTimerDelay(2);
        expect(meter.takeInterval()).toMatchObject({ rounds: 2, limitedRounds: 1, longestTurnMs: 3 });
        expect(meter.takeInterval()).toMatchObject({ limitedRounds: 0, longestTurnMs: 0 });
    });

    // Two codes could not be compared by what a start, a commit or an event costs.
    it("reports the starts, the commits and the events of the event loop of each interval apart", async () => {
        const meter = new LoadMeter();
        meter.noteStarts(7, 80);
        meter.noteStarts(2, 30);
        meter.noteCommit();
        // An immediate that is scheduled by another one runs in the next iteration.
        for (let turn = 0; turn < 2; turn++) {
            await new Promise(resolve => setImmediate(resolve));
        }
        const interval = meter.takeInterval();
        expect(interval).toMatchObject({ starts: 9, commits: 1 });
        expect(interval.loops).not.toBe(0);
        expect(meter.takeInterval()).toMatchObject({ starts: 0, commits: 0, loops: interval.loops && 0 });
    });

    // Nothing told whether a leader with room and waiting tasks was short of processor time or waited for its commits.
    it("reports how long starts of tasks and the log wait for the disk", () => {
        const meter = new LoadMeter();
        meter.noteStarts(7, 80);
        meter.noteStarts(2, 30);
        meter.noteWrite(9);
        meter.noteWrite(11);
        expect(meter.takeInterval()).toMatchObject({
            startCommits: 2,
            startCommitMs: 110,
            longestStartCommitMs: 80,
            writes: 2,
            writeMs: 20,
        });
        expect(meter.takeInterval()).toMatchObject({ startCommits: 0, startCommitMs: 0, writes: 0, writeMs: 0 });
    });

    // Nothing told for how long runs that had ended counted as used capacity.
    it("reports how long ends of runs wait until they are recorded", () => {
        const meter = new LoadMeter();
        meter.noteEnds(3, 120);
        meter.noteEnds(1, 40);
        expect(meter.takeInterval()).toMatchObject({
            ends: 4,
            endCommits: 2,
            endCommitMs: 160,
            longestEndCommitMs: 120,
        });
        expect(meter.takeInterval()).toMatchObject({ ends: 0, endCommits: 0, endCommitMs: 0, longestEndCommitMs: 0 });
    });

    it("names the most frequent kinds of requests", () => {
        const meter = new LoadMeter();
        ["sent log", "received report", "sent log"].forEach(kind => meter.noteRequest(kind));
        expect(meter.takeInterval().requestKinds).toBe("sent log 2, received report 1");
        expect(meter.takeInterval().requestKinds).toBe("");
    });

    // The lines told how many requests of each kind there were, but not which of them took the processor time.
    it("reports the time of each kind of work without that of other work within it", () => {
        const clock = new ManualClock();
        const meter = new LoadMeter(clock);
        meter.measure("renewals", () => {
            clock.runLate(5);
            meter.measure("starts", () => clock.runLate(40));
        });
        expect(() =>
            meter.measure("received job", () => {
                throw new RangeError("fault");
            })
        ).toThrow("fault");
        expect(meter.takeInterval().workMs).toBe("starts 40, renewals 5, received job 0");
        expect(meter.takeInterval().workMs).toBe("");
    });

    it("reports the collections of garbage", async () => {
        const meter = new LoadMeter();
        let kept: number[][] = [];
        for (let index = 0; index < 200_000; index++) {
            kept = index % 1_000 === 0 ? [] : [...kept.slice(-50), Array.from({ length: 50 }, () => index)];
        }
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(meter.takeInterval().gcs).toBeGreaterThan(0);
    });

    it("reports the processor time of the interval", () => {
        let cpuMs = 100;
        const meter = new LoadMeter(new ManualClock(), () => cpuMs);
        cpuMs += 60;
        expect(meter.takeInterval().cpuMs).toBe(60);
        expect(meter.takeInterval().cpuMs).toBe(0);
    });

    it("reads the processor time of this process", () => {
        const meter = new LoadMeter();
        const before = process.cpuUsage();
        for (let used = before; used.user + used.system < 60_000 + before.user + before.system;) {
            used = process.cpuUsage();
        }
        expect(meter.takeInterval().cpuMs).toBeGreaterThanOrEqual(60);
    });
});
