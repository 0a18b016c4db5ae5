/** Simulated exchange of one request between a router and an engine. */
import {
  BodyFraming,
  type ResponseHead,
  type EngineNotice,
  type Exchange,
  type ExchangeConnection,
  type ExchangeFailure,
  type ExchangeListener,
  type ForwardedRequest,
  type SendOptions,
} from '../../protocol/inference/port.js';
import { HttpStatus } from '../../protocol/http-status.js';
import type { Clock } from '../../runtime/clock.js';
import type { HostClock } from '../simulation/host-clock.js';
import { type EngineLink, LinkDirection } from './engine-links.js';
import {
  CrashCause,
  EngineMode,
  type ObservedCrash,
  type ObservedRun,
  type RunningRequest,
  type SimulatedEngine,
} from './simulated-engine.js';
import { FIRST_BUILD, eventIntervalOf } from './simulation-fixtures.js';

/** Number of events in each stream. */
export const STREAM_EVENTS = 5;
/** One-way delay between a router and an engine. */
export const NETWORK_DELAY_MS = 1;
/** An engine that crashes as it begins to write does so this long after the response head. */
const CRASH_AFTER_HEAD_MS = 2;
const EVENT_INTERVAL_MS = 8;
/**
 * Time after the end of a response in which a router checks its engine: until the check of its listener,
 * 20 ms, and the question for its incarnation arrive.
 */
const END_CHECK_MS = 20 + 4 * NETWORK_DELAY_MS;

/** One request, at the router and at the engine. */
export class SimulatedExchange implements Exchange, RunningRequest {
  isEnded = false;
  /** Called once when the exchange has ended for the router. */
  onClosed: (isComplete: boolean) => void = () => undefined;
  /** Called when the engine's side breaks off an exchange that the router has not ended. */
  onBrokenOff: () => void = () => undefined;
  private engine: SimulatedEngine | undefined;
  private observed: ObservedRun | undefined;
  private hasResponded = false;
  /** Whether the engine was to complete the response when the run started. */
  private willComplete = false;
  private framing = BodyFraming.Chunks;
  private isConnected = false;
  /** Delivers the engine's notice with a response that is sent now. */
  private deliverNotice: (isRefusal: boolean) => void = () => undefined;

  constructor(
    private readonly request: ForwardedRequest,
    private readonly options: SendOptions,
    private readonly listener: ExchangeListener,
    private readonly clock: Clock,
    private readonly host: HostClock,
    /** Link over which the engine is reached: the router's own or that of a forwarder. */
    private readonly link: EngineLink,
  ) {}

  /** Reports the connection to the engine, once. */
  noteConnected(connection: ExchangeConnection): void {
    if (this.isConnected) return;
    this.isConnected = true;
    this.host.deliver(() => {
      if (this.isEnded) return;
      this.listener.onConnected?.(connection);
      // Bodies are short, so the connection takes them at once.
      this.listener.onBodyTaken?.();
    });
  }

  /** No connection to the engine could be opened. */
  failToConnect(isPathFailure = false): void {
    this.failLocally({ kind: 'not-sent', reason: 'not-sent', isPathFailure });
  }

  /** The forwarding router has ended. The engine drops the request, and the sender is notified. */
  breakForwarding(): void {
    this.noteBrokenOff();
    this.leaveEngine();
    if (this.endsUnnoticed) {
      this.host.deliver(() => this.endResponse());
      return;
    }
    const kind = this.hasResponded ? 'cut' : 'unknown';
    this.failLocally({ kind, reason: 'forwarder-ended', isDisconnect: true });
  }

  private get eventIntervalMs(): number {
    return eventIntervalOf(this.request.headers) ?? EVENT_INTERVAL_MS;
  }

  /** Whether the end of the connection is the end of the response, whole or not. */
  private get endsUnnoticed(): boolean {
    return this.hasResponded && this.framing === BodyFraming.Connection;
  }

  private endResponse(): void {
    if (this.isEnded) return;
    this.finish(false);
    this.listener.onEnd();
  }

  private failLocally(failure: ExchangeFailure): void {
    this.host.deliver(() => {
      if (this.isEnded) return;
      this.finish(false);
      this.listener.onFailure(failure);
    });
  }

  /**
   * Sets the engine that the request has arrived at.
   *
   * @param onNotice called with a notice that the router receives, and the time of the response
   */
  reach(
    engine: SimulatedEngine,
    onNotice: (notice: EngineNotice, respondedMs: number) => void,
  ): void {
    this.deliverNotice = (isRefusal) => {
      const notice = engine.noticeFor(isRefusal);
      if (!notice) return;
      const respondedMs = this.clock.now();
      this.deliver(() => {
        onNotice(notice, respondedMs);
        this.listener.onNotice(notice);
      });
    };
  }

  /** Queues the request at the engine. It does not start if it is cancelled before. */
  waitInQueue(waitMs: number, start: () => void): void {
    this.clock.setTimer(waitMs, () => {
      if (!this.isEnded) start();
    });
  }

  /** Starts a request that crashes the engine: at once, or as it begins to write its response. */
  crash(engine: SimulatedEngine, run: ObservedRun, crash: ObservedCrash): void {
    this.accept(engine, run);
    const crashNow = (): void => {
      crash.crashedMs = this.clock.now();
      engine.crashAndRestart();
    };
    if (crash.cause === CrashCause.Request) {
      this.schedule(EVENT_INTERVAL_MS, crashNow);
      return;
    }
    this.schedule(EVENT_INTERVAL_MS, () => {
      this.sendResponse(false);
      this.schedule(CRASH_AFTER_HEAD_MS, crashNow);
    });
  }

  /** Starts the request on the engine, which responds according to its mode. */
  run(engine: SimulatedEngine, run: ObservedRun): void {
    this.accept(engine, run);
    this.willComplete = engine.mode === EngineMode.Healthy;
    switch (engine.mode) {
      case EngineMode.Failing:
        this.schedule(EVENT_INTERVAL_MS, () => this.respondWithFailure());
        return;
      case EngineMode.ResponseLost:
        this.schedule(EVENT_INTERVAL_MS, () => this.disconnect());
        return;
      case EngineMode.Hanging:
        return;
      default:
        this.schedule(serviceMsOf(engine), () =>
          this.sendResponse(engine.mode === EngineMode.Truncating),
        );
    }
  }

  private accept(engine: SimulatedEngine, run: ObservedRun): void {
    this.engine = engine;
    this.observed = run;
    engine.running.add(this);
  }

  refuse(status: number): void {
    if (status === HttpStatus.Unavailable) this.deliverNotice(true);
    this.deliverLast(
      () => this.listener.onFailure({ kind: 'refused', status, reason: `refused-${status}` }),
      true,
    );
  }

  fail(kind: 'unknown' | 'cut'): void {
    this.noteBrokenOff();
    const failure: ExchangeFailure = { kind, reason: kind, isDisconnect: true };
    this.deliverLast(() => this.listener.onFailure(failure));
  }

  disconnect(): void {
    if (!this.endsUnnoticed) {
      this.reset();
      return;
    }
    this.noteBrokenOff();
    this.leaveEngine();
    this.deliver(() => this.endResponse());
  }

  reset(): void {
    this.leaveEngine();
    this.fail(this.hasResponded ? 'cut' : 'unknown');
  }

  abandon(): void {
    this.noteBrokenOff();
    this.leaveEngine();
  }

  cancel(): void {
    this.noteGivenUp();
    this.finish(false);
    this.clock.setTimer(NETWORK_DELAY_MS, () =>
      this.link.carry(LinkDirection.ToEngine, () => this.leaveEngine()),
    );
  }

  pause(): void {
    // Simulated callers read without delay.
  }

  resume(): void {
    // See pause().
  }

  private respondWithFailure(): void {
    this.deliverNotice(false);
    this.deliver(() => this.listener.onHead(headOf(500, BodyFraming.Chunks)));
    this.leaveEngine();
    this.deliverLast(() => this.listener.onEnd(), true);
  }

  private sendResponse(isCut: boolean): void {
    this.hasResponded = true;
    this.framing = this.engine?.framing ?? this.framing;
    const { framing } = this;
    this.deliverNotice(false);
    this.deliver(() => this.listener.onHead(headOf(200, framing)));
    const isStream = this.request.target.startsWith('/stream');
    if (!isStream) {
      this.respondPlain(isCut);
      return;
    }
    const resumed = this.options.resumeAfter;
    this.sendEvent(resumed === undefined ? 1 : Number(resumed) + 1, isCut);
  }

  private respondPlain(isCut: boolean): void {
    const body = plainBodyOf(this.request.id);
    const sent = isCut ? body.slice(0, -1) : body;
    this.deliver(() => this.listener.onChunk(Buffer.from(sent)));
    if (isCut) {
      if (this.observed) this.observed.wasShortened = this.endsUnnoticed;
      this.disconnect();
      return;
    }
    this.leaveEngine();
    this.deliverLast(() => this.listener.onEnd(), !this.endsUnnoticed);
  }

  /** Sends the remaining events; if `isCut`, truncates the third one and disconnects. */
  private sendEvent(index: number, isCut: boolean): void {
    if (index > STREAM_EVENTS) {
      this.leaveEngine();
      if (this.endsUnnoticed) this.watchForCrash();
      this.deliverLast(() => this.listener.onEnd(), !this.endsUnnoticed);
      return;
    }
    const text = streamEventOf(this.request.id, index, this.engine?.build);
    const CUT_EVENT = 3;
    if (isCut && index >= CUT_EVENT) {
      this.deliver(() => this.listener.onChunk(Buffer.from(text.slice(0, text.length / 2))));
      this.disconnect();
      return;
    }
    this.deliver(() => this.listener.onChunk(Buffer.from(text)));
    this.schedule(this.eventIntervalMs, () => this.sendEvent(index + 1, isCut));
  }

  /**
   * Schedules a step of the run, which is skipped if the run has ended by then, and which waits while
   * the engine is silent.
   */
  private schedule(delayMs: number, action: () => void): void {
    this.clock.setTimer(delayMs, () => {
      const { engine } = this;
      if (!engine?.running.has(this)) return;
      const silentMs = engine.silentUntilMs - this.clock.now();
      if (silentMs > 0) this.schedule(silentMs, action);
      else action();
    });
  }

  /** Records whether the engine crashes while a router checks whether it lives. */
  private watchForCrash(): void {
    const { engine, observed } = this;
    this.clock.setTimer(END_CHECK_MS, () => {
      if (observed && engine?.isRunning === false) observed.hasCrashedAtEnd = true;
    });
  }

  private noteBrokenOff(): void {
    if (!this.isEnded) this.onBrokenOff();
  }

  /** Records a router that cancels the run of an engine that would have completed its response. */
  private noteGivenUp(): void {
    const { engine, observed } = this;
    if (this.isEnded || !this.willComplete || !engine?.isRunning || !observed) return;
    const isStream = this.request.target.startsWith('/stream');
    const runMs = serviceMsOf(engine) + (isStream ? STREAM_EVENTS * this.eventIntervalMs : 0);
    const sentMs = Math.max(observed.startedMs, engine.silentUntilMs) + runMs;
    observed.givenUp = { atMs: this.clock.now(), completeMs: sentMs + NETWORK_DELAY_MS };
  }

  private leaveEngine(): void {
    this.engine?.running.delete(this);
    if (this.observed) this.observed.endedMs ??= this.clock.now();
  }

  private deliver(action: () => void): void {
    const { engine } = this;
    // The connections of a process that has ended are closed also if it was silent.
    const silentUntilMs = engine?.isRunning ? engine.silentUntilMs : -Infinity;
    const silentMs = Math.max(0, silentUntilMs - this.clock.now());
    this.clock.setTimer(NETWORK_DELAY_MS + silentMs, () =>
      this.link.carry(LinkDirection.FromEngine, () =>
        this.host.deliver(() => {
          if (!this.isEnded) action();
        }),
      ),
    );
  }

  /** @param isComplete whether the connection can be used for another exchange */
  private deliverLast(action: () => void, isComplete = false): void {
    this.deliver(() => {
      this.finish(isComplete);
      action();
    });
  }

  private finish(isComplete: boolean): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.onClosed(isComplete);
  }
}

function serviceMsOf({ capacity }: SimulatedEngine): number {
  return capacity?.serviceMs ?? EVENT_INTERVAL_MS;
}

/** Complete body of a plain response. */
export function plainBodyOf(requestId: string): string {
  return `answer to ${requestId}`;
}

/** One event of a stream; it states the build of its engine unless that is the first one. */
export function streamEventOf(requestId: string, index: number, build = FIRST_BUILD): string {
  const statement = build === FIRST_BUILD ? '' : `event: ${build}\n`;
  return `id: ${index}\n${statement}data: ${requestId}/${index}\n\n`;
}

/** The events of a stream without the builds that they state, and those builds. */
export function parseStream(body: string): { readonly events: string; readonly builds: string[] } {
  const events = body.replaceAll(/^event: .*\n/gm, '');
  const builds = body.split('\n\n').flatMap((event) => {
    if (event === '') return [];
    return [/^event: (.*)$/m.exec(event)?.[1] ?? FIRST_BUILD];
  });
  return { events, builds };
}

function headOf(status: number, framing: BodyFraming): ResponseHead {
  return { status, headers: [], contentLength: undefined, framing, isAttested: true };
}
