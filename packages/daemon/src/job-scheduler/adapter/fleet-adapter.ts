import type { Worker } from "../../supervision/worker.js";
import type { AdviceService } from "../advice/advice-service.js";
import type { JobGateway } from "../entry/job-gateway.js";
import type { DecisionLog } from "../logging/decision-log.js";
import type { FleetSettings } from "../settings/fleet-settings.js";
import type { TargetClient } from "../targets/target-client.js";
import type { VmService } from "../vms/vm-service.js";
import type { ControlApi } from "./control-api.js";

/** Speaks the language of a platform: decodes what comes in, encodes what goes out, and decides nothing. */
export abstract class FleetAdapter {
    /**
     * Creates the listener for callers' requests about jobs.
     * @param settings - checked settings
     * @param gateway - answers the requests
     * @returns the listener
     */
    abstract createCallerListener(settings: FleetSettings, gateway: JobGateway): Worker;

    /**
     * Creates the listener that tells the platform's balancer whether to send callers here.
     * @param settings - checked settings
     * @param isReady - whether it should
     * @returns the listener
     */
    abstract createReadyListener(settings: FleetSettings, isReady: () => boolean): Worker;

    /**
     * Creates the listener for operators and targets.
     * @param settings - checked settings
     * @param api - carries out the calls
     * @param log - decisions, for what is refused before it becomes a call
     * @returns the listener
     */
    abstract createControlListener(settings: FleetSettings, api: ControlApi, log: DecisionLog): Worker;

    /**
     * Creates the client for targets.
     * @returns the client
     */
    abstract createTargetClient(): TargetClient;

    /**
     * Creates the client of the platform's service for VMs.
     * @param settings - checked settings
     * @returns the client
     */
    abstract createVmService(settings: FleetSettings): VmService;

    /**
     * Creates the client of the platform's service for advice on placement.
     * @param settings - checked settings
     * @returns the client
     */
    abstract createAdviceService(settings: FleetSettings): AdviceService;
}
