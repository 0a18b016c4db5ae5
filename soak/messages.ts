/** What the processes of the soak tell each other. All moments are of the machine's wall clock. */

/** How an engine treats its requests. */
export enum EngineBehavior {
  Sound = 'sound',
  /** Refuses, and says so. */
  Busy = 'busy',
  /** Runs and answers with its own failure. */
  Failing = 'failing',
  /** Runs and breaks its answer off. */
  Cutting = 'cutting',
  /** Runs and never answers. */
  Hanging = 'hanging',
}

/** To an engine. */
export type EngineCommand =
  | { readonly kind: 'behave'; readonly behavior: EngineBehavior }
  /** It refuses and asks for a pause, until it is told a pause of 0 ms. */
  | { readonly kind: 'ask-pause'; readonly backoffMs: number }
  /** It names this limit in its answers, until it is told null. */
  | { readonly kind: 'limit'; readonly perSecond: number | null }
  /** It says that it leaves, serves on for a while and ends. */
  | { readonly kind: 'drain' };

/** A request whose body begins so ends each engine that runs it. */
export const CRASHING_BODY = 'crashes-engines';

/** One run of a request at an engine. */
export interface ReportedRun {
  readonly kind: 'run';
  readonly requestId: string;
  /** One life of the engine. */
  readonly engineId: string;
  readonly service: string;
  readonly tenant: string | undefined;
  readonly salt: string | undefined;
  readonly weightsVersion: number;
  readonly startedMs: number;
}

/** An answer told something of the engine itself. */
export interface ReportedNotice {
  readonly kind: 'notice';
  readonly requestId: string;
  /** One life of the engine. */
  readonly engineId: string;
  readonly isLeaving: boolean;
  /** It wants no requests of that router for so long; 0 where it asked for no pause. */
  readonly backoffMs: number;
  /** Requests a second that it takes from all routers; undefined where it named no limit. */
  readonly limitPerSecond?: number | undefined;
  readonly atMs: number;
}

/** An engine names a limit from now on; undefined: it names none any more. */
export interface ReportedLimit {
  readonly kind: 'limit';
  /** One life of the engine. */
  readonly engineId: string;
  readonly perSecond?: number | undefined;
  readonly atMs: number;
}

/** From an engine. */
export type EngineReport =
  | { readonly kind: 'listening'; readonly port: number }
  | ReportedRun
  /** A request came, run or not. */
  | {
      readonly kind: 'arrival';
      readonly requestId: string;
      readonly engineId: string;
      readonly service: string;
      readonly atMs: number;
    }
  | ReportedNotice
  | ReportedLimit
  /** A request came that names another engine, which may not even exist. */
  | {
      readonly kind: 'stray';
      readonly requestId: string;
      readonly named: string;
      readonly atMs: number;
    }
  /** The engine has loaded other weights. */
  | { readonly kind: 'weights'; readonly version: number }
  /** A request is about to end this engine. */
  | { readonly kind: 'crash'; readonly requestId: string; readonly atMs: number }
  /** The store has taken that this engine leaves. */
  | { readonly kind: 'draining'; readonly engineId: string; readonly atMs: number }
  | {
      readonly kind: 'order';
      readonly engineId: string;
      readonly holder: string;
      readonly token: number;
      readonly atMs: number;
    };

/** To the store. */
export type StoreCommand =
  | { readonly kind: 'condition'; readonly condition: 'sound' | 'silent' | 'busy' }
  /** It forgets its history. */
  | { readonly kind: 'compact' }
  /** The next lists are answered later by these times, in milliseconds. */
  | { readonly kind: 'delay-lists'; readonly delaysMs: readonly number[] }
  /** It is back at once from the copy that was made so long ago. */
  | { readonly kind: 'restore'; readonly lostMs: number };

/** From the store. */
export interface StoreReport {
  readonly kind: 'listening';
  readonly port: number;
}
