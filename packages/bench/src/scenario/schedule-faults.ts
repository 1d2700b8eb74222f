import { LinkState } from "../cluster/link-state.js";
import { TargetFault } from "../targets/target-fault.js";
import type { Testbed } from "../testbed/testbed.js";
import { ScenarioFaultKind } from "./scenario-fault-kind.js";
import type { Scenario } from "./scenario.js";

type Fault = Scenario["faults"][number];

/** Begins a fault and returns what ends it. */
type FaultStarter = (site: Testbed, fault: Fault) => Promise<() => Promise<void> | void>;

const faultStarters: Record<ScenarioFaultKind, FaultStarter> = {
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
        await site.cluster.sendSignal(fault.subject, "SIGKILL");
        return () => site.cluster.startProcess(fault.subject);
    },
    [ScenarioFaultKind.FreezeProcess]: async (site, fault) => {
        await site.cluster.sendSignal(fault.subject, "SIGSTOP");
        return () => site.cluster.sendSignal(fault.subject, "SIGCONT");
    },
    [ScenarioFaultKind.KillLeader]: async site => {
        const name = await site.cluster.findLeader();
        await site.cluster.sendSignal(name, "SIGKILL");
        return () => site.cluster.startProcess(name);
    },
    [ScenarioFaultKind.CutZone]: async (site, fault) => {
        site.cluster.setLinkState(LinkState.Cut, fault.subject);
        return () => site.cluster.setLinkState(LinkState.Open, fault.subject);
    },
    [ScenarioFaultKind.SilentZone]: async (site, fault) => {
        site.cluster.setLinkState(LinkState.Silent, fault.subject);
        return () => undefined;
    },
};

/**
 * Schedules the faults of a scenario.
 * @param site - where they happen
 * @param faults - the faults
 */
export function scheduleFaults(site: Testbed, faults: readonly Fault[]): void {
    for (const fault of faults) {
        setTimeout(() => {
            void faultStarters[fault.kind](site, fault).then(end => {
                setTimeout(() => void end(), fault.seconds * 1_000);
            });
        }, fault.at * 1_000);
    }
}
