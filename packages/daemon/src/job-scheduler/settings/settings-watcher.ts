import type { Clock } from "../../clock/clock.js";
import { PeriodicWorker } from "../../supervision/periodic-worker.js";
import { DecisionKind } from "../logging/decision-kind.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { FleetSettings } from "./fleet-settings.js";
import { loadFleetSettings } from "./load-fleet-settings.js";

/** Interval between checks of the file, milliseconds. Polling finds changes that are made without sending a signal. */
const intervalMs = 2_000;
/** Settings that are applied while the process runs; changes of the others take effect after a restart. */
const reloadableKeys: ReadonlySet<string> = new Set(["cluster.seeds", "log.level"]);

/** Polls the settings file and applies changes of the settings that can be reloaded while the process runs. */
export class SettingsWatcher extends PeriodicWorker {
    override readonly name = "settings-watch";
    private lastContent: string;
    private lastErrors = "";

    /**
     * @param file - path of the settings file
     * @param settings - settings with which the process started
     * @param apply - applies changed settings
     * @param log - log of decisions
     * @param clock - clock for the interval
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

    /** Loads the settings file now and applies it if its content has changed. */
    updateSettings(): void {
        const loaded = loadFleetSettings(this.file);
        if (loaded.isErr) {
            this.noteErrors(loaded.error.message);
            return;
        }
        this.lastErrors = "";
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

    /** Logs the same validation errors only once; the previous settings stay active. */
    private noteErrors(errors: string): void {
        if (errors !== this.lastErrors) {
            this.lastErrors = errors;
            this.log.record(DecisionKind.SettingsRefused, { file: this.file, faults: errors });
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
