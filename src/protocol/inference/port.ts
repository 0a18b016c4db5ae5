/** The port to engines: one exchange is one send of a request to one engine. */

/** A header as it stands on the wire; names keep their spelling, duplicates stay apart. */
export type HeaderLine = readonly [name: string, value: string];

/** A request as it is passed on, the same for every engine. */
export interface ForwardedRequest {
  readonly id: string;
  readonly method: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** The host header, unchanged. */
  readonly hostHeader: string;
  readonly headers: readonly HeaderLine[];
  readonly body: Uint8Array;
}

/** What differs from send to send. */
export interface SendOptions {
  /** Time the client will still wait, in milliseconds. */
  readonly budgetMs: number;
  readonly tenant: string | undefined;
  /** Name of the engine; another engine that has its address refuses. */
  readonly expectedInstance: string;
  /** Only an engine with these weights may run it. */
  readonly expectedVersion: number | undefined;
  /** Engines look up kept prompts only under the same salt. */
  readonly cacheSalt: string | undefined;
  /** 0 (first) to 9. */
  readonly urgency: number | undefined;
  /** Engine or store to take kept prompts from, HOST:PORT. */
  readonly fetchFrom: string | undefined;
  /** Store that gets what was read, HOST:PORT. */
  readonly saveTo: string | undefined;
  /** Continue after this event of the stream. */
  readonly resumeAfter: string | undefined;
}

/** Status line and headers of an engine's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: readonly HeaderLine[];
  /** Declared length of the body in bytes; undefined where it is not declared. */
  readonly contentLength: number | undefined;
  /** Whether the engine attests that it ran the request and made this answer. */
  readonly isAttested: boolean;
}

/**
 * Why an exchange ended without a whole answer. `isDisconnect`: the connection broke at the engine's side
 * after the request was sent, as it does when the engine crashes.
 */
export type ExchangeFailure =
  /** No byte of the request left this router. */
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** The engine attests that it has not run the request. */
  | { readonly kind: 'refused'; readonly status: number; readonly reason: string }
  /** This router gave it up for a reason that is none of the engine's; it may have run. */
  | { readonly kind: 'withdrawn'; readonly reason: string }
  /** It may have run. */
  | { readonly kind: 'unknown'; readonly reason: string; readonly isDisconnect?: boolean }
  /** The answer began and broke off. */
  | { readonly kind: 'cut'; readonly reason: string; readonly isDisconnect?: boolean };

/** What an attempt to connect to an engine's address shows. */
export enum ListenerState {
  /** Somebody accepts connections there. */
  Listening = 'listening',
  /** The machine answers that nobody does. */
  Refused = 'refused',
  /** No answer in time. */
  Silent = 'silent',
}

/** What an engine says of itself beside an answer, whatever becomes of the answer. */
export interface EngineNotice {
  /** The engine ends soon and wants no new work. */
  readonly isLeaving: boolean;
  /** It wants no requests of this router for so long, in milliseconds; undefined where it asks for no pause. */
  readonly backoffMs: number | undefined;
  /** Requests a second that it takes from all routers together; undefined where it names no limit. */
  readonly limitPerSecond: number | undefined;
  /** Values of these that can't be read. */
  readonly unreadable: readonly string[];
  /** Names of headers of the platform that this build does not know. */
  readonly unknownHeaders: readonly string[];
}

/**
 * Receives one answer: a notice where the engine gives one, a head, any number of chunks, then one end or
 * failure.
 */
export interface ExchangeListener {
  onNotice(notice: EngineNotice): void;
  onHead(head: AnswerHead): void;
  onChunk(chunk: Uint8Array): void;
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** A send under way. */
export interface Exchange {
  /** Closes the connection, so that the engine stops. No event follows. */
  cancel(): void;
  pause(): void;
  resume(): void;
}

/** The engine a request is sent to. */
export interface EngineEndpoint {
  /** Incarnation of the engine: connections are kept by it. */
  readonly id: string;
  /** Name under which the engine knows itself, the same in every life. */
  readonly name: string;
  /** HOST:PORT. */
  readonly address: string;
}

/** An order to take other weights. */
export interface WeightOrder {
  readonly model: string;
  readonly version: number;
  /** Name of the machine that holds the lease. */
  readonly holder: string;
  readonly fencingToken: number;
  /** Orders the engine must have taken so far. */
  readonly expectedSequence: number;
}

/** The life that answered: its start in Unix milliseconds, where the answer states it. */
export interface StatedLife {
  readonly bornMs?: number | undefined;
}

/** Outcome of an order. */
export type OrderResult =
  | ({ readonly kind: 'accepted' } & StatedLife)
  | ({ readonly kind: 'already-done' } & StatedLife)
  | ({ readonly kind: 'rejected'; readonly status: number } & StatedLife)
  /** Another engine has the address: the one that was meant is gone. */
  | { readonly kind: 'replaced' }
  /** Not answered: it may be carried out, even later. */
  | { readonly kind: 'unknown'; readonly reason: string };

/** What an engine tells of one model's weights; some hundred milliseconds old. */
export interface WeightState extends StatedLife {
  readonly version: number;
  /** Whether an order is under way. */
  readonly isBusy: boolean;
  /** Orders taken since the engine started. */
  readonly orderSequence: number;
}

/** One change of what an engine or a cache store keeps. */
export interface CacheEvent {
  readonly salt: string;
  readonly partId: string;
  /** Tokens of the part kept now; 0 where it is gone. */
  readonly tokens: number;
}

/** An answer of an event feed. */
export interface CacheEventPage extends StatedLife {
  /** Changes when the holder restarts. */
  readonly epoch: number;
  /** Where the next call continues. */
  readonly next: number;
  /** Whether events between `since` and the first of this page are gone. */
  readonly hasGap: boolean;
  readonly events: readonly CacheEvent[];
}

/** All that an engine or a cache store keeps. */
export interface CacheContents extends StatedLife {
  /** Changes when the holder restarts. */
  readonly epoch: number;
  /** Where the event feed continues from this state. */
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
  /** Tries to connect, without a request. */
  checkListener(endpoint: EngineEndpoint): Promise<ListenerState>;
  order(endpoint: EngineEndpoint, order: WeightOrder): Promise<OrderResult>;
  /** Undefined where the engine does not answer. */
  weightState(endpoint: EngineEndpoint, model: string): Promise<WeightState | undefined>;
  /** Rejects with a `ProtocolFailure`. Held up to `waitMs` until there are events. */
  cacheEvents(address: string, since: number, waitMs: number): Promise<CacheEventPage>;
  /** Rejects with a `ProtocolFailure`. Holds up the holder's work, so it is called rarely. */
  cacheContents(address: string): Promise<CacheContents>;
  /** Closes idle connections to engines that are not listed any more. */
  retain(engineIds: ReadonlySet<string>): void;
}
