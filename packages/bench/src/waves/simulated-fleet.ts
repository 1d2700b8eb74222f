import type { MaintenanceVm } from "@daisylock/core/reboot-waves/maintenance-vm.js";
import { VmStep } from "@daisylock/core/reboot-waves/vm-step.js";
import type { WaveVm } from "@daisylock/core/reboot-waves/wave-vm.js";

import type { FleetShape } from "./fleet-shape.js";

const minuteMs = 60_000;
const dayMs = 24 * 60 * minuteMs;
/** Chances of the target: 65 of 5,100 VMs fail on a day; a rack goes every week. */
const failuresPerVmDay = 65 / 5_100;
const rackFailuresPerVmWeek = 1 / 5_100;
const repairMs = 30 * minuteMs;

interface SimulatedVm {
    readonly vm: string;
    readonly pool: string;
    readonly zone: string;
    readonly rack: string;
    /** When it is back from a failure; 0 when it has not failed. */
    downUntil: number;
    drainedAt: number;
    bootedAt: number;
    incarnation: number;
}

/** VMs that drain, reboot and fail by themselves under a virtual clock. */
export class SimulatedFleet {
    readonly vms: SimulatedVm[] = [];
    readonly vmsByName = new Map<string, SimulatedVm>();

    /**
     * @param shape - size and layout
     * @param random - numbers from 0 to below 1
     */
    constructor(shape: FleetShape, private readonly random: () => number) {
        for (let number = 0; number < shape.vms; number++) {
            const rackNumber = Math.floor(number / shape.vmsPerRack);
            this.vms.push({
                vm: `vm-${number}`,
                pool: `pool-${number % shape.pools}`,
                zone: `zone-${rackNumber % shape.zones}`,
                rack: `rack-${rackNumber}`,
                downUntil: 0,
                drainedAt: 0,
                bootedAt: 0,
                incarnation: 1,
            });
        }
        this.vms.forEach(vm => this.vmsByName.set(vm.vm, vm));
    }

    /**
     * Lets failures happen.
     * @param now - virtual milliseconds
     * @param stepMs - time since the last call
     */
    tick(now: number, stepMs: number): void {
        const vmChance = failuresPerVmDay * stepMs / dayMs;
        const rackChance = rackFailuresPerVmWeek * stepMs / (7 * dayMs);
        for (const vm of this.vms) {
            if (this.random() < rackChance) {
                this.stopRack(vm.rack, now);
            }
            else if (this.random() < vmChance) {
                vm.downUntil = now + repairMs;
            }
        }
    }

    /**
     * Starts draining or rebooting a VM.
     * @param vm - the VM
     * @param step - the step
     * @param now - virtual milliseconds
     */
    startStep(vm: SimulatedVm, step: VmStep, now: number): void {
        if (step === VmStep.Draining) {
            vm.drainedAt = now + (1 + 4 * this.random()) * minuteMs;
        }
        if (step === VmStep.Rebooting) {
            vm.bootedAt = now + (3 + 5 * this.random()) * minuteMs;
            vm.incarnation += 1;
        }
    }

    /**
     * Reads a VM as maintenance sees it.
     * @param vm - the VM
     * @param state - its step
     * @param now - virtual milliseconds
     * @returns the view
     */
    readVm(vm: SimulatedVm, state: WaveVm, now: number): MaintenanceVm {
        const isBooting = state.step === VmStep.Rebooting && now < vm.bootedAt;
        const isReady = now >= vm.downUntil && !isBooting;
        const { vm: name, pool, zone, rack } = vm;
        const incarnation = isBooting ? vm.incarnation - 1 : vm.incarnation;
        return { vm: name, pool, zone, rack, isReady, isDrained: now >= vm.drainedAt, incarnation };
    }

    private stopRack(rack: string, now: number): void {
        for (const vm of this.vms) {
            if (vm.rack === rack) {
                vm.downUntil = now + repairMs;
            }
        }
    }
}
