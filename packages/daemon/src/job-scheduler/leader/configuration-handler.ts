import { ConfigurationOutcome } from "@daisylock/core/configuration/configuration-outcome.js";
import type { FleetConfiguration } from "@daisylock/core/configuration/fleet-configuration.js";
import { validateConfiguration } from "@daisylock/core/configuration/validate-configuration.js";
import { CommandKind } from "@daisylock/core/control/command-kind.js";
import type { ConfigurationReply } from "@daisylock/protocol/fleet/configuration-reply.js";
import type { LeaderReply } from "@daisylock/protocol/fleet/leader-reply.js";

import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import { CommitsUnderWay } from "./commits-under-way.js";
import type { Leadership } from "./leadership.js";

/** Applies operators' configurations and reads them back, on the leader. */
export class ConfigurationHandler {
    private readonly changes = new CommitsUnderWay<LeaderReply<ConfigurationReply>>();

    /**
     * @param leadership - leadership state of this process
     * @param log - decision log
     */
    constructor(private readonly leadership: Leadership, private readonly log: DecisionLog) {}

    /**
     * Applies a configuration if it is valid and its version is the highest.
     * @param configuration - the configuration
     * @returns the outcome and the validation errors, or a not-leader reply
     */
    async handlePut(configuration: FleetConfiguration): Promise<LeaderReply<ConfigurationReply>> {
        // What was acknowledged is acknowledged again, even if an earlier release with fewer checks did so first.
        const faults = this.isStored(configuration) ? [] : validateConfiguration(configuration);
        if (faults.length > 0) {
            const reasons = faults.map(({ kind, subject }) => `${kind}: ${subject}`).join("; ");
            this.log.record(DecisionKind.ConfigurationRefused, { version: configuration.version, reasons });
            return { isLeader: true, value: { outcome: undefined, faults } };
        }
        const { version, source } = configuration;
        // The applied version only rises, so that one that is not higher needs no entry of the log.
        const stored = this.leadership.readFleet().configuration;
        if (stored === undefined || version > stored.version) {
            return this.changes.runOnce(`${version} ${source}`, () => this.recordConfiguration(configuration));
        }
        const outcome = this.isStored(configuration)
            ? ConfigurationOutcome.AlreadyApplied
            : ConfigurationOutcome.Superseded;
        return this.leadership.serveCall(async () => ({ outcome, faults: [] }));
    }

    private async recordConfiguration(configuration: FleetConfiguration): Promise<LeaderReply<ConfigurationReply>> {
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

    private isStored({ version, source }: FleetConfiguration): boolean {
        const stored = this.leadership.readFleet().configuration;
        return stored?.version === version && stored.source === source;
    }

    /**
     * Reads the latest configuration after confirming that this process still leads.
     * @returns the document as the operator sent it, or a not-leader reply
     */
    handleRead(): Promise<LeaderReply<{ source: string | undefined }>> {
        return this.leadership.serveCall(async () =>
            await this.leadership.confirmLeadership()
                ? { source: this.leadership.readFleet().configuration?.source }
                : undefined
        );
    }
}
