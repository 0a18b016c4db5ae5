/** Messages between the processes of the soak. All times are wall-clock times. */

import type { WriteFault } from '../src/lab/gateway-simulation/simulated-object-store.js';

/** How an engine handles its requests. */
export enum EngineBehavior {
  Healthy = 'sound',
  /** Rejects all requests as not executed. */
  Busy = 'busy',
  /** Executes requests and responds with status 500. */
  Failing = 'failing',
  /** Executes requests and truncates the response. */
  Truncating = 'cutting',
  /** Executes requests and never responds. */
  Hanging = 'hanging',
  /** Executes requests and responds with a flipped bit in the status line. */
  Spoiling = 'spoiling',
  /**
   * Executes requests and closes responses without a length before their end, in order. Streams that
   * may not be resumed stay whole: nothing shows a router that such a stream has ended early.
   */
  EndingEarly = 'ending early',
  /** Executes requests, breaks off the heads of responses and sends another whole response behind each. */
  JoiningHeads = 'joining heads',
  /**
   * Executes requests and closes resumable streams without a length before their end, in order.
   * Requests for the rest get events that came before, or another response than a stream.
   */
  ContradictingStreams = 'contradicting streams',
}

/** What an engine can do at a time. */
export interface EngineCapacity {
  readonly slots: number;
  /** Time for a plain request. */
  readonly plainWorkMs: number;
}

/** Commands to an engine. */
export type EngineCommand =
  | { readonly kind: 'behave'; readonly behavior: EngineBehavior }
  /** Reject requests with this retry delay, until a command with 0. */
  | { readonly kind: 'ask-pause'; readonly backoffMs: number }
  /** Announce this limit in responses, until a command with null. */
  | { readonly kind: 'limit'; readonly perSecond: number | null }
  /** Announce this number of tolerated rejections in a second, until a command with null. */
  | { readonly kind: 'brittle'; readonly tolerance: number | null; readonly failsFromMs: number }
  /** Announce the drain, keep serving for a while and exit. */
  | { readonly kind: 'drain' };

/** Prefix of prompt parts on which each engine crashes as it begins to write a response. */
export const CRASHING_PART_PREFIX = 'crashing';

/** Prefix of bodies of requests that crash each engine that executes them. */
export const CRASHING_BODY_PREFIX = 'crashes-engines';

/** An execution of a request by an engine. */
export interface ReportedRun {
  readonly kind: 'run';
  readonly requestId: string;
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  readonly service: string;
  readonly tenant: string | undefined;
  readonly salt: string | undefined;
  readonly weightsVersion: number;
  readonly startedMs: number;
}

/** The end of an execution; an engine that ends during it reports none. */
export interface ReportedRunEnd {
  readonly kind: 'run-end';
  readonly requestId: string;
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  /** Whether the engine broke off the response. */
  readonly isBrokenOff: boolean;
  readonly endedMs: number;
}

/** A response with headers on the engine's own state: draining, retry delay, rate limit. */
export interface ReportedNotice {
  readonly kind: 'notice';
  readonly requestId: string;
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  readonly isLeaving: boolean;
  /** Requested retry delay; 0 for none. */
  readonly backoffMs: number;
  /** Limit on requests per second from all routers; undefined for none. */
  readonly limitPerSecond?: number | undefined;
  readonly atMs: number;
}

/** An engine changed its announced limit; `perSecond` is undefined if it has none now. */
export interface ReportedLimit {
  readonly kind: 'limit';
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  readonly perSecond?: number | undefined;
  readonly atMs: number;
}

/** A brittle engine is about to fail because it rejected too many requests. */
export interface ReportedFall {
  readonly kind: 'fall';
  /** Identifier of the engine's incarnation. */
  readonly engineId: string;
  /** Requests rejected in the last second. */
  readonly requestIds: readonly string[];
  readonly atMs: number;
}

/** A command to an engine to load a version of its weights, as routers send it. */
export interface LoadCommand {
  readonly version: number;
  readonly holder: string;
  readonly fencing_token: number;
  readonly expected_revision?: number;
}

/** Reports of an engine. */
export type EngineReport =
  | { readonly kind: 'listening'; readonly port: number }
  | ReportedRun
  /** A request arrived, whether it is executed or not. */
  | {
      readonly kind: 'arrival';
      readonly requestId: string;
      readonly engineId: string;
      readonly service: string;
      readonly atMs: number;
    }
  | ReportedRunEnd
  | ReportedNotice
  | ReportedLimit
  | ReportedFall
  /** A request arrived that is addressed to another engine, which may not exist. */
  | {
      readonly kind: 'stray';
      readonly requestId: string;
      readonly named: string;
      readonly atMs: number;
    }
  /** The engine has loaded a version of the weights. */
  | { readonly kind: 'weights'; readonly version: number }
  /** A request is about to crash this engine. */
  | { readonly kind: 'crash'; readonly requestId: string; readonly atMs: number }
  /** The store has accepted that this engine drains. */
  | { readonly kind: 'draining'; readonly engineId: string; readonly atMs: number }
  | {
      readonly kind: 'order';
      readonly engineId: string;
      readonly holder: string;
      readonly token: number;
      readonly atMs: number;
    };

/** Commands to the store. */
export type StoreCommand =
  | { readonly kind: 'condition'; readonly condition: 'sound' | 'silent' | 'busy' }
  /** Refuse the writes of routers as busy, or accept them again. */
  | { readonly kind: 'refuse-writes'; readonly isRefusing: boolean }
  /** Faults of the next writes of routers. */
  | { readonly kind: 'write-faults'; readonly faults: readonly WriteFault[] }
  /** Drop the history of changes. */
  | { readonly kind: 'compact' }
  /** Delay the next list responses by these times. */
  | { readonly kind: 'delay-lists'; readonly delaysMs: readonly number[] }
  /** Restore the state from `lostMs` ago. */
  | { readonly kind: 'restore'; readonly lostMs: number };

/** Report of the store. */
export interface StoreReport {
  readonly kind: 'listening';
  readonly port: number;
}
