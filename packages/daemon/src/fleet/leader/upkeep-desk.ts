import { CommandKind } from "@daisylock/core/control/command-kind.js";
import { isWaveCompleted } from "@daisylock/core/upkeep/is-wave-completed.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";
import type { UpkeepOrder } from "@daisylock/protocol/fleet/upkeep-order.js";
import type { UpkeepView } from "@daisylock/protocol/fleet/upkeep-view.js";

import { DecisionKind } from "../log/decision-kind.js";
import type { DecisionLog } from "../log/decision-log.js";
import type { Leadership } from "./leadership.js";

const msPerSecond = 1_000;

/** Takes operators' waves of maintenance, on the leader. */
export class UpkeepDesk {
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
    async handleStart(order: UpkeepOrder): Promise<LeaderReply<{ isNew: boolean }>> {
        const wave = {
            number: order.number,
            vms: order.vms,
            cap: order.cap,
            deadlineAtMs: Date.now() + order.deadlineS * msPerSecond,
            done: [],
        };
        const reply = await this.leadership.serveCommand({ kind: CommandKind.StartUpkeep, wave });
        if (!reply.isLeader) {
            return reply;
        }
        const { number, vms, cap, deadlineS } = order;
        this.log.note(DecisionKind.WaveStarted, { wave: number, vms: vms.length, cap, deadlineS, isNew: reply.value });
        return { isLeader: true, value: { isNew: reply.value } };
    }

    /**
     * Reads how far a wave is.
     * @param request - number of the wave
     * @returns its state, or where the leader may be
     */
    handleRead({ number }: { number: number }): Promise<LeaderReply<UpkeepView>> {
        return this.leadership.serveCall(async () => {
            const wave = this.leadership.readFleet().upkeep.get(number);
            if (wave === undefined && !await this.leadership.confirm()) {
                return undefined;
            }
            return { isKnown: wave !== undefined, isCompleted: wave !== undefined && isWaveCompleted(wave) };
        });
    }
}
