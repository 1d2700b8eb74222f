import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { isWaveCompleted } from "@daisylock/core/vm-maintenance/is-wave-completed.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import type { MaintenanceWaveProgress } from "@daisylock/protocol/fleet/maintenance-wave-progress.js";
import type { MaintenanceWaveRequest } from "@daisylock/protocol/fleet/maintenance-wave-request.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { Leadership } from "./leadership.js";

const msPerSecond = 1_000;

/** Takes operators' waves of maintenance, on the leader. */
export class MaintenanceWaveHandler {
    /**
     * @param leadership - whether this process may decide
     * @param log - decisions
     */
    constructor(private readonly leadership: Leadership, private readonly log: DecisionLog) {}

    /**
     * Begins a wave; the same number again changes nothing.
     * @param order - the wave
     * @returns whether it is new, or where the leader may be
     */
    async handleStart(order: MaintenanceWaveRequest): Promise<LeaderReply<{ isNew: boolean }>> {
        const wave = {
            number: order.number,
            vms: order.vms,
            cap: order.cap,
            deadlineAtMs: Date.now() + order.deadlineS * msPerSecond,
            done: [],
        };
        const reply = await this.leadership.serveCommand({ kind: CommandKind.StartMaintenance, wave });
        if (!reply.isLeader) {
            return reply;
        }
        const { number, vms, cap, deadlineS } = order;
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
     * Reads how far a wave is.
     * @param request - number of the wave
     * @returns its state, or where the leader may be
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
