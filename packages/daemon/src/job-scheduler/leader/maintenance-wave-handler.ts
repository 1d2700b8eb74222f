import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { isWaveCompleted } from "@daisylock/core/vm-maintenance/is-wave-completed.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import type { MaintenanceWaveProgress } from "@daisylock/protocol/fleet/maintenance-wave-progress.js";
import type { MaintenanceWaveRequest } from "@daisylock/protocol/fleet/maintenance-wave-request.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { Leadership } from "./leadership.js";

const msPerSecond = 1_000;

/** Handles operators' requests about maintenance waves, on the leader. */
export class MaintenanceWaveHandler {
    /**
     * @param leadership - leadership state of this process
     * @param log - decision log
     */
    constructor(private readonly leadership: Leadership, private readonly log: DecisionLog) {}

    /**
     * Starts a wave; a wave number that exists already changes nothing.
     * @param request - the wave
     * @returns whether the wave is new, or a not-leader reply
     */
    async handleStart(request: MaintenanceWaveRequest): Promise<LeaderReply<{ isNew: boolean }>> {
        const wave = {
            number: request.number,
            vms: request.vms,
            cap: request.cap,
            deadlineAtMs: Date.now() + request.deadlineS * msPerSecond,
            done: [],
        };
        const reply = await this.leadership.serveCommand({ kind: CommandKind.StartMaintenance, wave });
        if (!reply.isLeader) {
            return reply;
        }
        const { number, vms, cap, deadlineS } = request;
        this.log.record(DecisionKind.WaveStarted, {
            wave: number,
            vms: vms.length,
            cap,
            deadlineS,
            isNew: reply.value,
        });
        return { isLeader: true, value: { isNew: reply.value } };
    }

    /**
     * Reads the progress of a wave.
     * @param request - number of the wave
     * @returns its progress, or a not-leader reply
     */
    handleRead({ number }: { number: number }): Promise<LeaderReply<MaintenanceWaveProgress>> {
        return this.leadership.serveCall(async () => {
            const wave = this.leadership.readFleet().maintenanceWaves.get(number);
            if (wave === undefined && !await this.leadership.confirmLeadership()) {
                return undefined;
            }
            return { isKnown: wave !== undefined, isCompleted: wave !== undefined && isWaveCompleted(wave) };
        });
    }
}
