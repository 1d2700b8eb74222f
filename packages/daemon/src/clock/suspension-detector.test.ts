import { describe, expect, it } from "@jest/globals";

import { Clock } from "./clock.js";
import { SuspensionDetector } from "./suspension-detector.js";

/** Clocks whose readings take time: each pause passes on both clocks right after a reading. */
class PausingClock extends Clock {
    private monotonicMs = 0;
    private wallMs = 1_700_000_000_000;
    private readings = 0;

    /**
     * @param pauses - pause after each reading by its number, milliseconds
     */
    constructor(private readonly pauses: ReadonlyMap<number, number> = new Map()) {
        super();
    }

    override readMonotonic(): number {
        return this.handleReading(this.monotonicMs);
    }

    override readWall(): number {
        return this.handleReading(this.wallMs);
    }

    override schedule(): () => void {
        return () => undefined;
    }

    /** Lets time pass on both clocks, milliseconds. */
    runBoth(durationMs: number): void {
        this.monotonicMs += durationMs;
        this.wallMs += durationMs;
    }

    /** Lets time pass on the wall clock only, milliseconds. */
    runWall(durationMs: number): void {
        this.wallMs += durationMs;
    }

    private handleReading(value: number): number {
        this.readings += 1;
        this.runBoth(this.pauses.get(this.readings) ?? 0);
        return value;
    }
}

describe("SuspensionDetector", () => {
    it("detects a suspension during which the monotonic clock stops", () => {
        const clock = new PausingClock();
        const detector = new SuspensionDetector(clock);
        clock.runBoth(1_000);
        expect(detector.readLastResume()).toBe(-1);
        clock.runWall(200);
        clock.runBoth(5);
        expect(detector.readLastResume()).toBe(1_005);
        clock.runBoth(1_000);
        expect(detector.readLastResume()).toBe(1_005);
    });

    // A leader short of processor time lost its lease again and again.
    it("takes a wait for the processor between its readings of the clocks for no suspension", () => {
        for (let reading = 1; reading <= 12; reading++) {
            const clock = new PausingClock(new Map([[reading, 400]]));
            const detector = new SuspensionDetector(clock);
            for (let check = 0; check < 4; check++) {
                clock.runBoth(50);
                expect([reading, detector.readLastResume()]).toEqual([reading, -1]);
            }
        }
    });

    it("detects a suspension beside waits for the processor", () => {
        for (let reading = 1; reading <= 12; reading++) {
            const clock = new PausingClock(new Map([[reading, 400]]));
            const detector = new SuspensionDetector(clock);
            clock.runBoth(50);
            detector.readLastResume();
            clock.runWall(200);
            expect([reading, detector.readLastResume()]).not.toEqual([reading, -1]);
        }
    });

    it("assumes a suspension when the process waits between all readings, as none tells", () => {
        const pauses = new Map(Array.from({ length: 40 }, (_, index) => [index + 4, 400]));
        const detector = new SuspensionDetector(new PausingClock(pauses));
        expect(detector.readLastResume()).toBeGreaterThan(0);
    });
});
