/** Public API: starts gateways and stewards, and exports the limit and routing algorithms and the configuration loader. */
export type { Finding } from "./common/findings.js";
export { createManualTimerService, createTimerService, type TimerService } from "./common/timerService.js";
export type { PlatformStore } from "./connection/platformStore.js";
export { type Daemon, startGateway } from "./daemons/gateway.js";
export { startSteward } from "./daemons/steward.js";
export { isWithinLimit, planHolderStep, removeHolder, setLimits, sumGranted } from "./decisions/allotments.js";
export { chooseServer, type ServerLoad } from "./decisions/chooseServer.js";
export { chooseTeam, type TeamBacklog } from "./decisions/chooseTeam.js";
export { divideLimit, type LimitClaim } from "./decisions/divideLimit.js";
export type { GatewaySettings, StewardSettings } from "./process/settings.js";
export type { FleetDocument } from "./version/fleetDocument.js";
export { loadFleetFiles } from "./version/loadFleetFiles.js";
export { resolveFleet } from "./version/resolveFleet.js";
