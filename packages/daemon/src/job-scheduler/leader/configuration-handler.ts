import { ConfigurationOutcome } from "@daisylock/core/configuration/configuration-outcome.js";
import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import { validateConfiguration } from "@daisylock/core/configuration/validate-configuration.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ConfigurationReply } from "@daisylock/protocol/fleet/configuration-reply.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { Leadership } from "./leadership.js";

/** Puts operators' configurations in force and reads them back, on the leader. */
export class ConfigurationHandler {
    /**
     * @param leadership - whether this process may decide
     * @param log - decisions
     */
    constructor(private readonly leadership: Leadership, private readonly log: DecisionLog) {}

    /**
     * Puts a configuration in force if it is valid and its version is the highest.
     * @param configuration - the configuration
     * @returns what became of it, or where the leader may be
     */
    async handlePut(configuration: FleetConfiguration): Promise<LeaderReply<ConfigurationReply>> {
        const faults = validateConfiguration(configuration);
        if (faults.length > 0) {
            const reasons = faults.map(({ kind, subject }) => `${kind}: ${subject}`).join("; ");
            this.log.record(DecisionKind.ConfigurationRefused, { version: configuration.version, reasons });
            return { isLeader: true, value: { outcome: undefined, faults } };
        }
        const reply = await this.leadership.serveCommand({ kind: CommandKind.SetConfiguration, configuration });
        if (!reply.isLeader) {
            return reply;
        }
        if (reply.value === ConfigurationOutcome.Applied) {
            this.log.record(DecisionKind.ConfigurationInForce, {
                version: configuration.version,
                queues: configuration.queues.length,
                accounts: configuration.accounts.length,
            });
        }
        return { isLeader: true, value: { outcome: reply.value, faults: [] } };
    }

    /**
     * Reads the newest configuration, once it is certain that it is the newest.
     * @returns the document as the operator sent it, or where the leader may be
     */
    handleRead(): Promise<LeaderReply<{ source: string | undefined }>> {
        return this.leadership.serveCall(async () =>
            await this.leadership.confirmLeadership()
                ? { source: this.leadership.readFleet().configuration?.source }
                : undefined
        );
    }
}
