import { LinkState } from "../fleet/link-state.js";
import type { Site } from "../site/site.js";
import { TargetFault } from "../targets/target-fault.js";
import { ScenarioFaultKind } from "./scenario-fault-kind.js";
import type { Scenario } from "./scenario.js";

type Fault = Scenario["faults"][number];

/** Begins a fault and returns what ends it. */
type Begin = (site: Site, fault: Fault) => Promise<() => Promise<void> | void>;

const begins: Record<ScenarioFaultKind, Begin> = {
    [ScenarioFaultKind.Target]: async (site, fault) => {
        const target = site.findTarget(fault.subject);
        target?.setFault(fault.target_fault);
        return () => target?.setFault(TargetFault.None);
    },
    [ScenarioFaultKind.KillTarget]: async (site, fault) => {
        const target = site.findTarget(fault.subject);
        await target?.stop();
        return () => target?.startAgain();
    },
    [ScenarioFaultKind.KillProcess]: async (site, fault) => {
        await site.fleet.sendSignal(fault.subject, "SIGKILL");
        return () => site.fleet.startProcess(fault.subject);
    },
    [ScenarioFaultKind.FreezeProcess]: async (site, fault) => {
        await site.fleet.sendSignal(fault.subject, "SIGSTOP");
        return () => site.fleet.sendSignal(fault.subject, "SIGCONT");
    },
    [ScenarioFaultKind.KillLeader]: async site => {
        const name = await site.fleet.findLeader();
        await site.fleet.sendSignal(name, "SIGKILL");
        return () => site.fleet.startProcess(name);
    },
    [ScenarioFaultKind.CutZone]: async (site, fault) => {
        site.fleet.setLinks(LinkState.Cut, fault.subject);
        return () => site.fleet.setLinks(LinkState.Open, fault.subject);
    },
    [ScenarioFaultKind.SilentZone]: async (site, fault) => {
        site.fleet.setLinks(LinkState.Silent, fault.subject);
        return () => undefined;
    },
};

/**
 * Schedules the faults of a scenario.
 * @param site - where they happen
 * @param faults - the faults
 */
export function scheduleFaults(site: Site, faults: readonly Fault[]): void {
    for (const fault of faults) {
        setTimeout(() => {
            void begins[fault.kind](site, fault).then(end => {
                setTimeout(() => void end(), fault.seconds * 1_000);
            });
        }, fault.at * 1_000);
    }
}
