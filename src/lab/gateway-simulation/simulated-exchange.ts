/** One send to a simulated engine, as both sides see it. */
import type {
  AnswerHead,
  EngineNotice,
  Exchange,
  ExchangeFailure,
  ExchangeListener,
  ForwardedRequest,
  SendOptions,
} from '../../protocol/inference/port.js';
import { HttpStatus } from '../../protocol/http-status.js';
import type { Clock } from '../../runtime/clock.js';
import type { HostClock } from '../simulation/host-clock.js';
import {
  EngineMode,
  type ObservedCrash,
  type ObservedRun,
  type RunningRequest,
  type SimulatedEngine,
} from './simulated-engine.js';

/** Pieces of every stream. */
export const STREAM_PIECES = 5;
/** Time on the way between a router and an engine. */
export const WAY_MS = 1;
const PIECE_MS = 8;

/** One send, from both sides. */
export class SimulatedExchange implements Exchange, RunningRequest {
  isOver = false;
  private engine: SimulatedEngine | undefined;
  private observed: ObservedRun | undefined;
  private hasBegun = false;
  /** What an answer that is given now tells of the engine that was reached. */
  private tellNotice: (isRefusal: boolean) => void = () => undefined;

  constructor(
    private readonly request: ForwardedRequest,
    private readonly options: SendOptions,
    private readonly listener: ExchangeListener,
    private readonly clock: Clock,
    private readonly host: HostClock,
  ) {}

  /**
   * The request has reached an engine.
   *
   * @param onNotice called with what the router takes of the engine, and when the engine said it
   */
  reach(
    engine: SimulatedEngine,
    onNotice: (notice: EngineNotice, answeredMs: number) => void,
  ): void {
    this.tellNotice = (isRefusal) => {
      const notice = engine.noticeWith(isRefusal);
      if (!notice) return;
      const answeredMs = this.clock.now();
      this.deliver(() => {
        onNotice(notice, answeredMs);
        this.listener.onNotice(notice);
      });
    };
  }

  /** The engine lets the request wait; it does not begin where it is given up meanwhile. */
  waitInQueue(waitMs: number, begin: () => void): void {
    this.clock.setTimer(waitMs, () => {
      if (!this.isOver) begin();
    });
  }

  /** The engine has taken the request, which crashes it when it begins to run. */
  crash(engine: SimulatedEngine, run: ObservedRun, crash: ObservedCrash): void {
    this.take(engine, run);
    this.later(PIECE_MS, () => {
      crash.crashedMs = this.clock.now();
      engine.crashAndRestart();
    });
  }

  /** The engine has taken the request. */
  run(engine: SimulatedEngine, run: ObservedRun): void {
    this.take(engine, run);
    switch (engine.mode) {
      case EngineMode.Failing:
        this.later(PIECE_MS, () => this.answerFailure());
        return;
      case EngineMode.AnswerLost:
        this.later(PIECE_MS, () => this.breakOff());
        return;
      case EngineMode.Hanging:
        return;
      default:
        this.later(PIECE_MS, () => this.begin(engine.mode === EngineMode.Cutting));
    }
  }

  private take(engine: SimulatedEngine, run: ObservedRun): void {
    this.engine = engine;
    this.observed = run;
    engine.running.add(this);
  }

  refuse(status: number): void {
    if (status === HttpStatus.Unavailable) this.tellNotice(true);
    this.deliverLast(() =>
      this.listener.onFailure({ kind: 'refused', status, reason: `refused-${status}` }),
    );
  }

  fail(kind: 'not-sent' | 'unknown' | 'cut'): void {
    const failure: ExchangeFailure =
      kind === 'not-sent' ? { kind, reason: kind } : { kind, reason: kind, isDisconnect: true };
    this.deliverLast(() => this.listener.onFailure(failure));
  }

  /** The connection breaks at the engine's side. */
  breakOff(): void {
    this.leaveEngine();
    this.fail(this.hasBegun ? 'cut' : 'unknown');
  }

  leaveSilently(): void {
    this.leaveEngine();
  }

  cancel(): void {
    this.isOver = true;
    this.clock.setTimer(WAY_MS, () => this.leaveEngine());
  }

  pause(): void {
    // Callers of the simulation read at once.
  }

  resume(): void {
    // As above.
  }

  private answerFailure(): void {
    this.tellNotice(false);
    this.deliver(() => this.listener.onHead(headOf(500)));
    this.leaveEngine();
    this.deliverLast(() => this.listener.onEnd());
  }

  private begin(isCut: boolean): void {
    this.hasBegun = true;
    this.tellNotice(false);
    this.deliver(() => this.listener.onHead(headOf(200)));
    const isStream = this.request.target.startsWith('/stream');
    if (!isStream) {
      this.answerPlain(isCut);
      return;
    }
    const resumed = this.options.resumeAfter;
    this.piece(resumed === undefined ? 1 : Number(resumed) + 1, isCut);
  }

  private answerPlain(isCut: boolean): void {
    const body = plainBodyOf(this.request.id);
    const sent = isCut ? body.slice(0, -1) : body;
    this.deliver(() => this.listener.onChunk(Buffer.from(sent)));
    if (isCut) {
      this.breakOff();
      return;
    }
    this.leaveEngine();
    this.deliverLast(() => this.listener.onEnd());
  }

  /** Sends one event after the other; a cut falls into the middle of the third. */
  private piece(index: number, isCut: boolean): void {
    if (index > STREAM_PIECES) {
      this.leaveEngine();
      this.deliverLast(() => this.listener.onEnd());
      return;
    }
    const text = pieceOf(this.request.id, index);
    const CUT_PIECE = 3;
    if (isCut && index >= CUT_PIECE) {
      this.deliver(() => this.listener.onChunk(Buffer.from(text.slice(0, text.length / 2))));
      this.breakOff();
      return;
    }
    this.deliver(() => this.listener.onChunk(Buffer.from(text)));
    this.later(PIECE_MS, () => this.piece(index + 1, isCut));
  }

  /** Continues the run at the engine, unless it was given up or the engine is gone. */
  private later(delayMs: number, action: () => void): void {
    this.clock.setTimer(delayMs, () => {
      if (this.engine?.running.has(this)) action();
    });
  }

  private leaveEngine(): void {
    this.engine?.running.delete(this);
    if (this.observed) this.observed.endedMs ??= this.clock.now();
  }

  private deliver(action: () => void): void {
    this.clock.setTimer(WAY_MS, () =>
      this.host.deliver(() => {
        if (!this.isOver) action();
      }),
    );
  }

  private deliverLast(action: () => void): void {
    this.deliver(() => {
      this.isOver = true;
      action();
    });
  }
}

/** The whole body of a plain answer. */
export function plainBodyOf(requestId: string): string {
  return `answer to ${requestId}`;
}

/** One event of a stream. */
export function pieceOf(requestId: string, index: number): string {
  return `id: ${index}\ndata: ${requestId}/${index}\n\n`;
}

function headOf(status: number): AnswerHead {
  return { status, headers: [], contentLength: undefined, isAttested: true };
}
