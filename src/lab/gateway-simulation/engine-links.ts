/** Network links between the simulated routers and all engines, which can be cut by router. */
import type { Clock } from '../../runtime/clock.js';

/** How a router is cut off from all engines. */
export enum EngineCut {
  /** Nothing passes; what was sent over open connections arrives after the cut. */
  Silent = 'silent',
  /** Requests reach engines over open connections, but nothing returns before the end of the cut. */
  OneWay = 'one-way',
  /** Open connections are reset and new ones are refused. */
  Reset = 'reset',
  /** Open connections continue to work and new ones are refused. */
  RefuseNew = 'refuse-new',
}

/** Direction of a message on a link. */
export enum LinkDirection {
  ToEngine = 'to-engine',
  FromEngine = 'from-engine',
}

/** A period in which a router was cut off from all engines; times in milliseconds. */
export interface EngineCutPeriod {
  readonly router: string;
  readonly cut: EngineCut;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** A message that a cut holds up. */
interface HeldMessage {
  readonly direction: LinkDirection;
  readonly action: () => void;
}

/** The link of one router to all engines. */
export class EngineLink {
  private current: EngineCut | undefined;
  private held: HeldMessage[] = [];
  /** Engines to which there is an idle open connection. */
  private readonly idle = new Set<string>();
  /** Resets the router's open connections. */
  onReset: () => void = () => undefined;

  /** Undefined while the link works. */
  get cut(): EngineCut | undefined {
    return this.current;
  }

  /** Whether attempts to open a connection get no response. */
  get isUnresponsive(): boolean {
    return this.current === EngineCut.Silent || this.current === EngineCut.OneWay;
  }

  start(cut: EngineCut): void {
    this.current = cut;
    if (cut === EngineCut.Reset) {
      this.idle.clear();
      this.onReset();
    }
    this.deliverHeld();
  }

  end(): void {
    this.current = undefined;
    this.deliverHeld();
  }

  /** Performs the action now, or when the cut that blocks it ends. */
  carry(direction: LinkDirection, action: () => void): void {
    if (this.isBlocked(direction)) this.held.push({ direction, action });
    else action();
  }

  /** Whether there is an idle connection to an engine. */
  hasConnection(engineId: string): boolean {
    return this.idle.has(engineId);
  }

  /** Takes the idle connection to an engine; returns false if there is none. */
  takeConnection(engineId: string): boolean {
    return this.idle.delete(engineId);
  }

  /** Keeps a connection whose exchange is complete for the next one. */
  returnConnection(engineId: string): void {
    this.idle.add(engineId);
  }

  /** Closes all connections because the router's process ends. */
  closeConnections(): void {
    this.idle.clear();
    this.held = [];
  }

  private isBlocked(direction: LinkDirection): boolean {
    if (this.current === EngineCut.Silent) return true;
    return this.current === EngineCut.OneWay && direction === LinkDirection.FromEngine;
  }

  /** Delivers what the present cut does not block, in order. */
  private deliverHeld(): void {
    const held = this.held;
    this.held = held.filter(({ direction }) => this.isBlocked(direction));
    for (const { direction, action } of held) if (!this.isBlocked(direction)) action();
  }
}

/** The links of all routers, and the periods in which they were cut. */
export class EngineLinks {
  readonly periods: EngineCutPeriod[] = [];
  private readonly links = new Map<string, EngineLink>();

  constructor(private readonly clock: Clock) {}

  of(router: string): EngineLink {
    let link = this.links.get(router);
    if (!link) {
      link = new EngineLink();
      this.links.set(router, link);
    }
    return link;
  }

  /** Cuts a router off from all engines; a later cut of the same router replaces an earlier one. */
  cut(router: string, cut: EngineCut, forMs: number): void {
    const fromMs = this.clock.now();
    const period = { router, cut, fromMs, untilMs: fromMs + forMs };
    this.periods.push(period);
    this.of(router).start(cut);
    this.clock.setTimer(forMs, () => {
      const latest = this.periods.findLast((each) => each.router === router);
      if (latest === period) this.of(router).end();
    });
  }

  /** Whether a router was cut off from all engines at some point between two times. */
  wasCut(router: string, fromMs: number, untilMs: number): boolean {
    return this.periods.some(
      (each) => each.router === router && each.fromMs <= untilMs && each.untilMs >= fromMs,
    );
  }

  /** Ends all cuts. */
  heal(): void {
    for (const link of this.links.values()) link.end();
  }
}
