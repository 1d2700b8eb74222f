import type { Clock } from "../../clock/clock.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { FleetSettings } from "./fleet-settings.js";
import { loadFleetSettings } from "./load-fleet-settings.js";

/** Time between two looks at the file; it may change without a signal. */
const intervalMs = 2_000;
/** Settings that take effect while the process runs; the others need a restart. */
const reloadableKeys: ReadonlySet<string> = new Set(["cluster.seeds", "log.level"]);

/** Looks at the settings file from time to time and applies what can be changed while the process runs. */
export class SettingsWatcher extends PeriodicWorker {
    override readonly name = "settings-watch";
    private lastContent: string;
    private lastFaults = "";

    /**
     * @param file - the settings file
     * @param settings - what is in force
     * @param apply - puts new settings in force
     * @param log - decisions
     * @param clock - time
     */
    constructor(
        private readonly file: string,
        private settings: FleetSettings,
        private readonly apply: (settings: FleetSettings) => void,
        private readonly log: Pick<DecisionLog, "record">,
        clock: Clock,
    ) {
        super(clock);
        this.lastContent = JSON.stringify(settings);
    }

    /** Looks at the file now. */
    updateSettings(): void {
        const loaded = loadFleetSettings(this.file);
        if (loaded.isErr) {
            this.noteFaults(loaded.error.message);
            return;
        }
        this.lastFaults = "";
        const content = JSON.stringify(loaded.value);
        if (content !== this.lastContent) {
            this.lastContent = content;
            this.applyChange(loaded.value);
        }
    }

    protected override *tick(): Generator<unknown, number, unknown> {
        this.updateSettings();
        return intervalMs;
    }

    private applyChange(next: FleetSettings): void {
        const changed = listChangedKeys(this.settings, next);
        this.settings = next;
        this.apply(next);
        this.log.record(DecisionKind.SettingsReloaded, {
            file: this.file,
            inForce: changed.filter(key => reloadableKeys.has(key)).join(" "),
            afterRestart: changed.filter(key => !reloadableKeys.has(key)).join(" "),
        });
    }

    /** Once for each fault: the old settings stay in force. */
    private noteFaults(faults: string): void {
        if (faults !== this.lastFaults) {
            this.lastFaults = faults;
            this.log.record(DecisionKind.SettingsRefused, { file: this.file, faults });
        }
    }
}

function listChangedKeys(before: FleetSettings, after: FleetSettings): string[] {
    const flatten = (settings: FleetSettings): Map<string, string> =>
        new Map(
            Object.entries(settings).flatMap(([section, values]) =>
                Object.entries(values).map(([key, value]) => [`${section}.${key}`, JSON.stringify(value)] as const)
            ),
        );
    const [old, next] = [flatten(before), flatten(after)];
    return [...new Set([...old.keys(), ...next.keys()])].filter(key => old.get(key) !== next.get(key));
}
