/** Interface to inference engines. An exchange is one attempt to send a request to one engine. */

import type { RequestBody } from '../../runtime/request-body.js';

/** A header line as received; the case of names and duplicate lines are preserved. */
export type HeaderLine = readonly [name: string, value: string];

/** A request to forward, the same for each engine. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query of the client's request, unchanged. */
  readonly target: string;
  /** `Host` header of the client's request, unchanged. */
  readonly hostHeader: string;
  readonly headers: readonly HeaderLine[];
  readonly body: RequestBody;
}

/** Options that differ between attempts. */
export interface SendOptions {
  /** Remaining time until the client's deadline, in milliseconds. */
  readonly budgetMs: number;
  readonly tenant: string | undefined;
  /** Name of the engine; another engine at the same address rejects the request. */
  readonly expectedInstance: string;
  /** An engine with other weights rejects the request. */
  readonly expectedVersion: number | undefined;
  /** Engines share cached prefixes only between requests with the same salt. */
  readonly cacheSalt: string | undefined;
  /** From 0 (most urgent) to 9. */
  readonly urgency: number | undefined;
  /** Engine or cache store to fetch cached prefixes from, HOST:PORT. */
  readonly fetchFrom: string | undefined;
  /** Cache store to save the computed prefix to, HOST:PORT. */
  readonly saveTo: string | undefined;
  /** Event identifier after which the stream continues. */
  readonly resumeAfter: string | undefined;
  /** Router that forwards the connection to the engine; undefined for a direct connection. */
  readonly forwarder?: Forwarder | undefined;
}

/** A router through which an engine is reached. */
export interface Forwarder {
  /** Address at which it forwards connections, HOST:PORT. */
  readonly address: string;
  /** Whether an idle direct connection is used instead if there is one. */
  readonly keepsDirectConnections: boolean;
}

/** The connection of an exchange. */
export interface ExchangeConnection {
  /** False for a connection that an earlier exchange has opened. */
  readonly isNew: boolean;
  /** Whether another router forwards it. */
  readonly isForwarded: boolean;
}

/** What shows where the body of a response ends. */
export enum BodyFraming {
  /** A declared length, or a status without a body. */
  Length = 'length',
  /** Chunks, the last of which is marked. */
  Chunks = 'chunks',
  /** The end of the connection, which is the same for a complete body and one that was broken off. */
  Connection = 'connection',
}

/** Status and headers of an engine's response. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  /** Declared length of the body in bytes; undefined if not declared. */
  readonly contentLength: number | undefined;
  readonly framing: BodyFraming;
  /** Whether the engine attests that it ran the request and produced this response. */
  readonly isAttested: boolean;
}

/**
 * Why an exchange ended without a complete response. `isDisconnect`: the engine's side closed the
 * connection after the request was sent, as in a crash of the engine.
 */
export type ExchangeFailure =
  /**
   * No byte of the request was sent. `isPathFailure`: this router or the forwarder is the cause, and
   * nothing is known about the engine.
   */
  | { readonly kind: 'not-sent'; readonly reason: string; readonly isPathFailure?: boolean }
  /** The engine attests that it did not run the request. */
  | { readonly kind: 'refused'; readonly status: number; readonly reason: string }
  /** This router ended the exchange, not because of the engine; the request may have run. */
  | { readonly kind: 'withdrawn'; readonly reason: string }
  /** The request may have run. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly isDisconnect?: boolean }
  /** The response began and is incomplete. */
  | { readonly kind: 'cut'; readonly reason: string; readonly isDisconnect?: boolean }
  /** The response ended without showing whether it is whole, and its engine runs. */
  | { readonly kind: 'unconfirmed'; readonly reason: string; readonly engine: string };

/** Result of a connection attempt to an engine's address. */
export enum ListenerState {
  /** The connection was accepted. */
  Listening = 'listening',
  /** The connection was refused. */
  Refused = 'refused',
  /** The connection was refused, perhaps on the way to the engine: no other engine accepts any. */
  RefusedUnverified = 'refused-unverified',
  /** The connection attempt timed out. */
  Unresponsive = 'silent',
}

/** Status of the engine in the headers of a response, independent of the response's outcome. */
export interface EngineNotice {
  /** The engine is shutting down and accepts no new work. */
  readonly isLeaving: boolean;
  /** Time during which this router must send no requests, in milliseconds; undefined if none. */
  readonly backoffMs: number | undefined;
  /** Rate limit for all routers together, in requests per second; undefined if there is none. */
  readonly limitPerSecond: number | undefined;
  /**
   * Rejections for want of room in one second, given to all routers together, above which the engine
   * fails; undefined if it tolerates any number.
   */
  readonly rejectionTolerance: number | undefined;
  /** Malformed values of these headers. */
  readonly unreadable: readonly string[];
  /** Names of platform headers that this version does not support. */
  readonly unknownHeaders: readonly string[];
}

/**
 * Receives one response: the engine's status if there is one, the head, any number of chunks, then
 * either the end or a failure.
 */
export interface ExchangeListener {
  /** The exchange has a connection to the engine, so the request may arrive there. */
  onConnected?(connection: ExchangeConnection): void;
  onNotice(notice: EngineNotice): void;
  /** The connection to the engine has taken the whole body of the request. */
  onBodyTaken?(): void;
  onHead(head: ResponseHead): void;
  onChunk(chunk: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** An exchange in progress. */
export interface Exchange {
  /** Closes the connection, which stops the engine's work. The listener gets no further calls. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** The engine a request is sent to. */
export interface EngineEndpoint {
  /** Identifier of the engine's incarnation; connections are pooled by it. */
  readonly id: string;
  /** The engine's own name, the same in every incarnation. */
  readonly name: string;
  /** HOST:PORT. */
  readonly address: string;
}

/** An engine and its start time in Unix milliseconds, if its entry states one. */
export interface DatedEndpoint extends EngineEndpoint {
  readonly startedAtMs: number | undefined;
}

/** Which incarnation of an engine responds at its address. */
export enum IncarnationState {
  Same = 'same',
  /** Another engine, or the same one after a restart. */
  Other = 'other',
  /** None responded. */
  Unknown = 'unknown',
}

/** Which incarnation of an engine responds at its address, and since when. */
export interface IncarnationCheck {
  readonly state: IncarnationState;
  /** Start time of the one that responded, in Unix milliseconds by its clock; undefined if unknown. */
  readonly startedAtMs: number | undefined;
}

/** Result of a check that no incarnation has responded to. */
export const UNKNOWN_INCARNATION: IncarnationCheck = {
  state: IncarnationState.Unknown,
  startedAtMs: undefined,
};

/** A command to load other weights. */
export interface LoadCommandRequest {
  readonly model: string;
  readonly version: number;
  /** Name of the coordinator, which holds the lease. */
  readonly holder: string;
  readonly fencingToken: number;
  /** Number of load commands that the engine must have accepted before this one. */
  readonly expectedSequence: number;
}

/** Start time of the responding incarnation, in Unix milliseconds, if it is in the response. */
export interface IncarnationStart {
  readonly startedAtMs?: number | undefined;
}

/** Result of a load command. */
export type LoadCommandResult =
  | ({ readonly kind: 'accepted' } & IncarnationStart)
  | ({ readonly kind: 'already-done' } & IncarnationStart)
  | ({ readonly kind: 'rejected'; readonly status: number } & IncarnationStart)
  /** Another engine now has the address. */
  | { readonly kind: 'replaced' }
  /** No response: the engine may still carry out the command. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** State of one model's weights as reported by an engine; it lags by some hundred milliseconds. */
export interface WeightState extends IncarnationStart {
  readonly version: number;
  /** Whether a load command is in progress. */
  readonly isBusy: boolean;
  /** Load commands accepted since the engine started. */
  readonly orderSequence: number;
}

/** A change of one cached part at an engine or a cache store. */
export interface CacheEvent {
  readonly salt: string;
  readonly partId: string;
  /** Cached tokens of the part; 0 if it was evicted. */
  readonly tokens: number;
}

/** A page of an event feed. */
export interface CacheEventPage extends IncarnationStart {
  /** Changes when the engine or cache store restarts. */
  readonly epoch: number;
  /** Position at which the next call continues. */
  readonly next: number;
  /** Whether events between `since` and the first event of this page are missing. */
  readonly hasGap: boolean;
  readonly events: readonly CacheEvent[];
}

/** All cached parts of an engine or a cache store. */
export interface CacheContents extends IncarnationStart {
  /** Changes when the engine or cache store restarts. */
  readonly epoch: number;
  /** Position at which the event feed continues after this state. */
  readonly next: number;
  readonly held: readonly CacheEvent[];
}

/** Access to engines. */
export interface InferencePort {
  send(
    endpoint: EngineEndpoint,
    request: ForwardedRequest,
    options: SendOptions,
    listener: ExchangeListener,
  ): Exchange;
  /**
   * Opens a connection to the engine's address, without sending a request.
   *
   * @param forwarder address of the router that forwards the connection; direct by default
   */
  checkListener(endpoint: EngineEndpoint, forwarder?: string): Promise<ListenerState>;
  /**
   * Asks the engine at the address whether it is the given incarnation. Never rejects.
   *
   * @param forwarder address of the router that forwards the connection; direct by default
   */
  checkIncarnation(endpoint: DatedEndpoint, forwarder?: string): Promise<IncarnationCheck>;
  /** Sends a load command; resolves also if the engine does not respond. */
  sendLoadCommand(
    endpoint: EngineEndpoint,
    command: LoadCommandRequest,
  ): Promise<LoadCommandResult>;
  /** Returns undefined if the engine does not respond. */
  readWeightState(endpoint: EngineEndpoint, model: string): Promise<WeightState | undefined>;
  /** Waits up to `waitMs` for events. Rejects with a `ProtocolFailure`. */
  cacheEvents(address: string, since: number, waitMs: number): Promise<CacheEventPage>;
  /** Rejects with a `ProtocolFailure`. Expensive for the engine or cache store: call it rarely. */
  cacheContents(address: string): Promise<CacheContents>;
  /** Closes idle connections to all engines except the given ones. */
  retain(engineIds: ReadonlySet<string>): void;
  /** Closes idle connections that are forwarded by routers at other addresses than the given ones. */
  retainForwarders(addresses: ReadonlySet<string>): void;
}
