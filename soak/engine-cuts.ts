/** Cuts of routers from all engines: their modes, the command to a router's process, their periods. */

/** How a router is cut off from all engines. */
export enum EngineCutMode {
  /** Nothing passes; what was sent over open connections arrives after the cut. */
  Silent = 'silent',
  /** Requests arrive over open connections, but nothing returns before the end of the cut. */
  OneWay = 'one-way',
  /** Open connections are reset and new ones are refused. */
  Reset = 'reset',
  /** Open connections continue to work and new ones are refused. */
  RefuseNew = 'refuse-new',
}

/** Command to a router's process; an undefined mode ends the cut. */
export interface EngineCutCommand {
  readonly mode: EngineCutMode | undefined;
}

/** A period in which a router was cut off from all engines, Unix milliseconds. */
export interface EngineCut {
  readonly mode: EngineCutMode;
  readonly fromMs: number;
  untilMs: number | undefined;
}

/** Host of all engines; routers have other loopback addresses. */
export const ENGINE_HOST = '127.0.0.1';
/** Environment variable with the port of the store, which has the host of the engines. */
export const STORE_PORT_VARIABLE = 'SOAK_STORE_PORT';
