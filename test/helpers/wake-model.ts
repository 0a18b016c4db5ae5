/**
 * Model of many routers with queues in front of a few engines, in steps of one millisecond. Routers
 * see the load of the others in reports that are 100 to 200 ms old.
 */
import { SeededRandom } from '../../src/runtime/random.js';
import { plainRequestLimit } from '../../src/state/routing/engine-capacity.js';
import { ServiceRate } from '../../src/state/routing/service-rate.js';
import { WakeBudget, isRoomScarce } from '../../src/state/routing/wake-budget.js';

/** When a router sends waiting requests. */
export enum WakeRule {
  /** Each router fills all the room that a report shows. */
  AllRoom = 'all room',
  /** Each router fills its share of the room that a report shows. */
  ShareOfRoom = 'share of room',
  /** A router sends one request for each of its own that ends. */
  OwnEnds = 'own ends',
  /** Its share of the room of each report; also for requests that arrive while none wait. */
  Budget = 'budget for all sends',
}

/** Load and size of the model. Times in milliseconds. */
export interface WakeModel {
  readonly routers: number;
  readonly engines: number;
  readonly slots: number;
  /** Requests that an engine queues; it rejects those beyond. */
  readonly queued: number;
  readonly serviceMs: number;
  readonly objectiveMs: number;
  /** How a router chooses among the engines with room. */
  readonly placement: 'least-loaded' | 'by-room';
  /** Requests per second as a multiple of the capacity, by time. */
  loadAt(nowMs: number): number;
  readonly durationMs: number;
}

/** What happened. */
export interface WakeResult {
  /** Share of the arrivals at engines that they rejected. */
  readonly rejected: number;
  /** Share of the slots that were idle while a request waited in some router. */
  readonly idle: number;
  /** Wait in routers of the requests that were sent from a queue. */
  readonly meanWaitMs: number;
  readonly p95WaitMs: number;
  /** Share of all requests that ended within their objective. */
  readonly inTime: number;
}

interface Job {
  readonly router: number;
  readonly arrivedMs: number;
}

interface Engine {
  readonly running: { readonly job: Job; readonly endMs: number }[];
  readonly queue: Job[];
}

interface Router {
  waiting: Job[];
  /** Requests at each engine: its own, and those of the others by the last report. */
  readonly own: number[];
  others: readonly number[];
  readonly budget: WakeBudget;
  /** Sends that the other rules allow. */
  credits: number;
  readonly arrivals: ServiceRate;
  readonly ends: ServiceRate;
  /** Time within a period at which it reads a report. */
  readonly viewMs: number;
}

interface Report {
  readonly totals: readonly number[];
  readonly own: readonly (readonly number[])[];
}

const REPORT_PERIOD_MS = 100;
/** Share of the time after the service that a request may wait in its router. */
const WAIT_SHARE = 0.5;

/** Runs the model with one rule. */
export function runWakeModel(model: WakeModel, rule: WakeRule, seed: number): WakeResult {
  return new WakeRun(model, rule, new SeededRandom(seed)).run();
}

class WakeRun {
  private readonly engines: Engine[];
  private readonly routers: Router[];
  /** Requests at an engine up to which routers send more. */
  private readonly limit: number;
  /** The latest report and the one before, which routers see. */
  private latest: Report | undefined;
  private visible: Report | undefined;
  private readonly waits: number[] = [];
  private nowMs = 0;
  private dueRequests = 0;
  private requests = 0;
  private arrivals = 0;
  private rejected = 0;
  private inTime = 0;
  private idleSlots = 0;
  private countedSlots = 0;

  constructor(
    private readonly model: WakeModel,
    private readonly rule: WakeRule,
    private readonly random: SeededRandom,
  ) {
    this.engines = Array.from({ length: model.engines }, () => ({ running: [], queue: [] }));
    this.limit = plainRequestLimit(model.slots, model.serviceMs, model.objectiveMs);
    this.routers = Array.from({ length: model.routers }, () => ({
      waiting: [],
      own: this.engines.map(() => 0),
      others: this.engines.map(() => 0),
      budget: new WakeBudget(random.next()),
      credits: 0,
      arrivals: new ServiceRate(),
      ends: new ServiceRate(),
      viewMs: Math.floor(random.next() * REPORT_PERIOD_MS),
    }));
  }

  run(): WakeResult {
    for (this.nowMs = 0; this.nowMs < this.model.durationMs; this.nowMs += 1) {
      for (const [index, engine] of this.engines.entries()) this.advanceEngine(engine, index);
      if (this.nowMs % REPORT_PERIOD_MS === 0) this.report();
      for (const [index, router] of this.routers.entries()) this.readReport(router, index);
      this.addArrivals();
      for (const router of this.routers) this.sendWaiting(router);
      this.countIdleSlots();
    }
    this.waits.sort((left, right) => left - right);
    const waitSum = this.waits.reduce((sum, each) => sum + each, 0);
    return {
      rejected: this.rejected / Math.max(1, this.arrivals),
      idle: this.idleSlots / Math.max(1, this.countedSlots),
      meanWaitMs: waitSum / Math.max(1, this.waits.length),
      p95WaitMs: this.waits[Math.floor(this.waits.length * 0.95)] ?? 0,
      inTime: this.inTime / this.requests,
    };
  }

  private advanceEngine(engine: Engine, index: number): void {
    const { slots, serviceMs } = this.model;
    for (const run of engine.running.splice(0)) {
      if (run.endMs > this.nowMs) engine.running.push(run);
      else this.finish(run.job, index);
    }
    while (engine.running.length < slots && engine.queue.length > 0) {
      engine.running.push({ job: engine.queue.shift() as Job, endMs: this.nowMs + serviceMs });
    }
  }

  private finish(job: Job, engine: number): void {
    const router = this.routers[job.router] as Router;
    router.own[engine] = (router.own[engine] as number) - 1;
    router.budget.noteEnd(1 / this.model.routers);
    router.ends.noteCompleted(this.nowMs);
    if (this.rule === WakeRule.OwnEnds) router.credits += 1;
    if (this.nowMs - job.arrivedMs <= this.model.objectiveMs) this.inTime += 1;
  }

  private report(): void {
    this.visible = this.latest;
    this.latest = {
      totals: this.engines.map(({ running, queue }) => running.length + queue.length),
      own: this.routers.map(({ own }) => [...own]),
    };
  }

  private readReport(router: Router, index: number): void {
    if (!this.visible || this.nowMs % REPORT_PERIOD_MS !== router.viewMs) return;
    const own = this.visible.own[index] as readonly number[];
    router.others = this.visible.totals.map((total, engine) => total - (own[engine] as number));
    const room = this.roomOf(router);
    const share = 1 / this.model.routers;
    router.budget.renew(room, share);
    if (this.rule === WakeRule.AllRoom) router.credits = room;
    if (this.rule === WakeRule.ShareOfRoom) {
      router.credits = Math.floor(room * share + this.random.next());
    }
  }

  private addArrivals(): void {
    const { engines, slots, serviceMs, routers, loadAt } = this.model;
    this.dueRequests += ((engines * slots) / serviceMs) * loadAt(this.nowMs);
    for (; this.dueRequests >= 1; this.dueRequests -= 1) {
      const index = Math.floor(this.random.next() * routers);
      const router = this.routers[index] as Router;
      const job = { router: index, arrivedMs: this.nowMs };
      this.requests += 1;
      router.arrivals.noteCompleted(this.nowMs);
      const engine = this.maySendAtOnce(router) ? this.chooseEngine(router) : undefined;
      if (engine === undefined) router.waiting.push(job);
      else this.send(router, job, engine);
    }
  }

  private maySendAtOnce(router: Router): boolean {
    if (router.waiting.length > 0) return false;
    if (this.rule !== WakeRule.Budget || !router.budget.isEmpty) return true;
    const arrivalsPerSecond = router.arrivals.perSecond(this.nowMs);
    const endsPerSecond = router.ends.perSecond(this.nowMs);
    const share = 1 / this.model.routers;
    return !isRoomScarce(this.roomOf(router), share, arrivalsPerSecond, endsPerSecond);
  }

  private sendWaiting(router: Router): void {
    const { objectiveMs, serviceMs } = this.model;
    const oldestMs = this.nowMs - (objectiveMs - serviceMs) * WAIT_SHARE;
    while ((router.waiting[0]?.arrivedMs ?? Infinity) < oldestMs) router.waiting.shift();
    while (router.waiting.length > 0 && this.hasCredit(router)) {
      const engine = this.chooseEngine(router);
      if (engine === undefined) return;
      const job = router.waiting.shift() as Job;
      this.waits.push(this.nowMs - job.arrivedMs);
      router.credits -= 1;
      this.send(router, job, engine);
    }
  }

  private hasCredit(router: Router): boolean {
    return this.rule === WakeRule.Budget ? !router.budget.isEmpty : router.credits >= 1;
  }

  private send(router: Router, job: Job, index: number): void {
    const { slots, queued } = this.model;
    const engine = this.engines[index] as Engine;
    router.budget.spend();
    this.arrivals += 1;
    if (engine.running.length + engine.queue.length >= slots + queued) {
      this.rejected += 1;
      return;
    }
    router.own[index] = (router.own[index] as number) + 1;
    engine.queue.push(job);
  }

  private chooseEngine(router: Router): number | undefined {
    const rooms = this.engines.map((_, index) => this.roomAt(router, index));
    const total = rooms.reduce((sum, room) => sum + room, 0);
    if (total === 0) return undefined;
    if (this.model.placement === 'least-loaded') {
      const jittered = rooms.map((room) => (room === 0 ? -1 : room + this.random.next()));
      return jittered.indexOf(Math.max(...jittered));
    }
    let point = this.random.next() * total;
    return rooms.findIndex((room) => {
      point -= room;
      return point < 0;
    });
  }

  private roomOf(router: Router): number {
    return this.engines.reduce((sum, _, index) => sum + this.roomAt(router, index), 0);
  }

  private roomAt({ own, others }: Router, engine: number): number {
    return Math.max(0, this.limit - (own[engine] as number) - (others[engine] as number));
  }

  private countIdleSlots(): void {
    if (!this.routers.some(({ waiting }) => waiting.length > 0)) return;
    const { engines, slots } = this.model;
    this.countedSlots += engines * slots;
    this.idleSlots += this.engines.reduce((sum, { running }) => sum + slots - running.length, 0);
  }
}
